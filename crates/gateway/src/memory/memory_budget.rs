//! Memory budget for which its users wait.

use std::{sync::Arc, time::Duration};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{ConnectionError, MemoryReservation};

/// Limit on the memory that growing buffers use together. Besides the shared bytes there is one
/// permit to grow without them, up to the buffer's own limit: buffers that hold all shared bytes and
/// need more could otherwise wait for each other.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    bytes: usize,
    shared: Arc<Semaphore>,
    growth: Arc<Semaphore>,
    wait_limit: Option<Duration>,
}

/// Bytes or the growth permit, whichever is free first.
pub(super) enum MemoryGrant {
    Shared(OwnedSemaphorePermit),
    Growth(OwnedSemaphorePermit),
}

impl MemoryBudget {
    /// Builds a budget of `bytes`. A buffer waits for memory up to `wait_limit`.
    pub fn new(bytes: usize, wait_limit: Option<Duration>) -> MemoryBudget {
        MemoryBudget {
            bytes,
            shared: Arc::new(Semaphore::new(bytes)),
            growth: Arc::new(Semaphore::new(1)),
            wait_limit,
        }
    }

    /// Returns the reservation of a buffer that may have `unshared` bytes without the budget.
    pub fn reservation(&self, unshared: usize) -> MemoryReservation {
        MemoryReservation::new(self, unshared)
    }

    /// Returns the number of bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.shared.available_permits()
    }

    /// Waits for `bytes`, or for the growth permit.
    pub(super) async fn grow(&self, bytes: usize) -> Result<MemoryGrant, ConnectionError> {
        let growth = Arc::clone(&self.growth);
        let wait = async {
            match self.wait_limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            permit = self.take(bytes) => Ok(MemoryGrant::Shared(permit)),
            permit = growth.acquire_owned() => {
                Ok(MemoryGrant::Growth(permit.expect("the budget is never closed")))
            }
            () = wait => Err(ConnectionError::NoMemory),
        }
    }

    /// Waits for `bytes` of the shared ones; forever if the budget is smaller.
    pub(super) async fn take(&self, bytes: usize) -> OwnedSemaphorePermit {
        let count = match u32::try_from(bytes) {
            Ok(count) if bytes <= self.bytes => count,
            _ => std::future::pending().await,
        };
        let shared = Arc::clone(&self.shared);
        shared.acquire_many_owned(count).await.expect("the budget is never closed")
    }
}
