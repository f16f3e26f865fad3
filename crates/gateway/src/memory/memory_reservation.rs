//! Memory reserved for one buffer.

use tokio::sync::OwnedSemaphorePermit;

use super::memory_budget::MemoryGrant;
use crate::{ConnectionError, MemoryBudget};

/// Bytes reserved for one buffer; released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
    shared: Option<OwnedSemaphorePermit>,
    growth: Option<OwnedSemaphorePermit>,
    is_waiting: bool,
}

impl MemoryReservation {
    pub(super) fn new(budget: &MemoryBudget, unshared: usize) -> MemoryReservation {
        MemoryReservation {
            budget: budget.clone(),
            bytes: unshared,
            shared: None,
            growth: None,
            is_waiting: false,
        }
    }

    /// Reserves memory up to `bytes` in total. Waits if the budget does not have it.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::NoMemory`] after the budget's wait limit.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        if bytes <= self.bytes {
            return Ok(());
        }
        if self.growth.is_none() {
            self.is_waiting = true;
            match self.budget.grow(bytes - self.bytes).await? {
                MemoryGrant::Growth(permit) => self.growth = Some(permit),
                MemoryGrant::Shared(permit) => self.add(permit),
            }
            self.is_waiting = false;
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Adds bytes that were taken from the budget.
    pub(super) fn add(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.shared {
            Some(shared) => shared.merge(permit),
            None => self.shared = Some(permit),
        }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the last growth was given up before there was memory for it.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Returns whether the buffer uses the budget at all.
    pub(super) fn is_shared(&self) -> bool {
        self.shared.is_some() || self.growth.is_some()
    }
}
