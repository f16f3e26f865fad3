//! Interface to the rate-limited store of model weights.

use std::time::Duration;

use displaydoc::Display;
use dragonflycart_core::{ModelName, VersionName};
use thiserror::Error;

use crate::BoxFuture;

/// Reason why a load of weights may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WeightStoreError {
    /// the weight store has reached its rate limit; try again after {retry_after:?}
    RateLimited {
        /// Time after which another attempt may succeed.
        retry_after: Duration,
    },
    /// the weight store can't be reached
    Unavailable,
}

/// Admission control of the weight store. The engines fetch the weights themselves.
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
