//! Body of the response to a failed request.

use dragonflycart_core::ServiceError;
use serde::{Deserialize, Serialize};

use crate::api::ErrorBody;

/// Body of the response to every failed request. Callers of the request API get the same body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The failure.
    pub error: ErrorBody,
}

impl From<&ServiceError> for ErrorResponse {
    fn from(error: &ServiceError) -> ErrorResponse {
        let retry_after = error.kind().retry_after();
        ErrorResponse {
            error: ErrorBody {
                kind: error.kind(),
                message: error.message().to_owned(),
                run: error.run_state(),
                retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            },
        }
    }
}
