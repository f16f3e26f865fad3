//! HTTP client of the weight store: `POST /loads` with `{"model", "version"}` returns 204, or 429
//! with `{"retry_after_ms"}`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ModelName, VersionName};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, WeightStore, WeightStoreError, http_transport::HttpTransport};

/// Timeout for the permission to load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct LoadBody<'a> {
    model: &'a ModelName,
    version: &'a VersionName,
}

#[derive(Deserialize)]
struct RateLimitResponse {
    retry_after_ms: u64,
}

/// HTTP client of the weight store.
pub struct HttpWeightStoreClient {
    transport: HttpTransport,
}

impl HttpWeightStoreClient {
    /// Builds a client for the weight store at `address`.
    pub fn new(address: SocketAddr) -> HttpWeightStoreClient {
        HttpWeightStoreClient { transport: HttpTransport::new(address) }
    }

    async fn request_load(
        &self,
        model: &ModelName,
        version: &VersionName,
    ) -> Result<(), WeightStoreError> {
        let body = serde_json::to_vec(&LoadBody { model, version })
            .map_err(|_| WeightStoreError::Unavailable)?;
        let response =
            self.transport.send(Method::POST, "/loads", Bytes::from(body), LOAD_TIMEOUT).await;
        let (status, body) = response.map_err(|_| WeightStoreError::Unavailable)?;
        if status.is_success() {
            return Ok(());
        }
        if status != StatusCode::TOO_MANY_REQUESTS {
            return Err(WeightStoreError::Unavailable);
        }
        let response: RateLimitResponse =
            serde_json::from_slice(&body).map_err(|_| WeightStoreError::Unavailable)?;
        let retry_after = Duration::from_millis(response.retry_after_ms);
        Err(WeightStoreError::RateLimited { retry_after })
    }
}

impl WeightStore for HttpWeightStoreClient {
    fn begin_load<'a>(
        &'a self,
        model: &'a ModelName,
        version: &'a VersionName,
    ) -> BoxFuture<'a, Result<(), WeightStoreError>> {
        Box::pin(self.request_load(model, version))
    }
}
