//! The rate-limited store of model weights.

use std::time::Duration;

use displaydoc::Display;
use dragonflycart_core::{ModelName, VersionName};
use thiserror::Error;

use crate::BoxFuture;

/// Failure to begin a load of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WeightStoreError {
    /// the weight store is at its rate limit; try again after {retry_after:?}
    RateLimited {
        /// Time after which a new attempt may succeed.
        retry_after: Duration,
    },
    /// the weight store can't be reached
    Unavailable,
}

/// Admission to the weight store; engines fetch the weights themselves.
pub trait WeightStore: Send + Sync {
    /// Asks for permission to start one load.
    ///
    /// # Errors
    ///
    /// [`WeightStoreError::RateLimited`] or [`WeightStoreError::Unavailable`]; no load may start.
    fn begin_load<'a>(
        &'a self,
        model: &'a ModelName,
        version: &'a VersionName,
    ) -> BoxFuture<'a, Result<(), WeightStoreError>>;
}
