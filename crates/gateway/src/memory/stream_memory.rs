//! Memory of one stream.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::ReservedBytes;
use crate::{ConnectionError, MemoryBudget, MemoryReservation};

/// Bytes of small events that wait for the caller, and of an incomplete event, that need no memory
/// of the budget. A stream of small events never waits for other streams' callers.
const UNSHARED_BYTES: usize = 16 * 1024;
/// Maximum size of the larger events that wait for the caller, in bytes.
const WINDOW_BYTES: usize = 512 * 1024;

/// Memory of the events of a stream: the one that is being received, and those that wait for the
/// caller. While there is none, the engine's response is not read.
pub struct StreamMemory {
    budget: MemoryBudget,
    small: Arc<Semaphore>,
    window: Arc<Semaphore>,
    partial: MemoryReservation,
}

impl StreamMemory {
    /// Builds the memory of a stream within a budget that it shares with other streams.
    pub fn new(budget: &MemoryBudget) -> StreamMemory {
        StreamMemory {
            budget: budget.clone(),
            small: Arc::new(Semaphore::new(UNSHARED_BYTES)),
            window: Arc::new(Semaphore::new(WINDOW_BYTES)),
            partial: budget.reservation(UNSHARED_BYTES),
        }
    }

    /// Waits for memory for the `bytes` that were received and not split into events yet.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::NoMemory`] after the budget's wait limit.
    pub async fn receive(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        if bytes <= UNSHARED_BYTES && self.partial.is_shared() {
            self.partial = self.budget.reservation(UNSHARED_BYTES);
        }
        self.partial.grow_to(bytes).await
    }

    /// Waits until a complete event may wait for the caller. Returns its bytes, which release their
    /// memory when they are dropped.
    pub async fn keep(&mut self, event: &Bytes) -> Bytes {
        // A copy, because a small event would keep the whole receive buffer.
        let bytes = Bytes::copy_from_slice(event);
        if event.len() <= UNSHARED_BYTES {
            return tokio::select! {
                biased;
                permit = take(&self.small, event.len()) => {
                    ReservedBytes::event(bytes, None, Some(permit))
                }
                (reservation, permit) = self.take_shared(event.len()) => {
                    ReservedBytes::event(bytes, Some(reservation), Some(permit))
                }
            };
        }
        let permit = take(&self.window, event.len()).await;
        let unused = self.budget.reservation(UNSHARED_BYTES);
        let reservation = std::mem::replace(&mut self.partial, unused);
        ReservedBytes::event(bytes, Some(reservation), Some(permit))
    }

    async fn take_shared(&self, bytes: usize) -> (MemoryReservation, OwnedSemaphorePermit) {
        let permit = take(&self.window, bytes).await;
        let mut reservation = self.budget.reservation(0);
        reservation.add(self.budget.take(bytes).await);
        (reservation, permit)
    }
}

async fn take(semaphore: &Arc<Semaphore>, bytes: usize) -> OwnedSemaphorePermit {
    let count = u32::try_from(bytes).unwrap_or(u32::MAX);
    let permit = Arc::clone(semaphore).acquire_many_owned(count).await;
    permit.expect("the window is never closed")
}
