//! Client of the weight store over HTTP: `POST /loads` with `{"model", "version"}` answers 204, or
//! 429 with `{"retry_after_ms"}`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ModelName, VersionName};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, WeightStore, WeightStoreError, http_transport::HttpTransport};

/// Longest wait for the permission.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct LoadBody<'a> {
    model: &'a ModelName,
    version: &'a VersionName,
}

#[derive(Deserialize)]
struct LimitAnswer {
    retry_after_ms: u64,
}

/// Weight store reached over HTTP.
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
        let answer =
            self.transport.exchange(Method::POST, "/loads", Bytes::from(body), LOAD_TIMEOUT).await;
        let (status, body) = answer.map_err(|_| WeightStoreError::Unavailable)?;
        if status.is_success() {
            return Ok(());
        }
        if status != StatusCode::TOO_MANY_REQUESTS {
            return Err(WeightStoreError::Unavailable);
        }
        let answer: LimitAnswer =
            serde_json::from_slice(&body).map_err(|_| WeightStoreError::Unavailable)?;
        let retry_after = Duration::from_millis(answer.retry_after_ms);
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
