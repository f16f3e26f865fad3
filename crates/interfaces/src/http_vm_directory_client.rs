//! HTTP client of the platform's VM list: `GET /vms` returns a JSON array of entries.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};

use crate::{BoxFuture, DirectoryError, VmDirectory, VmEntry, http_transport::HttpTransport};

/// Timeout for reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of the platform's VM list.
pub struct HttpVmDirectoryClient {
    transport: HttpTransport,
}

impl HttpVmDirectoryClient {
    /// Builds a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> HttpVmDirectoryClient {
        HttpVmDirectoryClient { transport: HttpTransport::new(address) }
    }

    async fn read_list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        let response = self.transport.send(Method::GET, "/vms", Bytes::new(), LIST_TIMEOUT).await;
        let (status, body) = response.map_err(|_| DirectoryError::Unavailable)?;
        if status != StatusCode::OK {
            return Err(DirectoryError::Unavailable);
        }
        serde_json::from_slice(&body).map_err(|_| DirectoryError::Unavailable)
    }
}

impl VmDirectory for HttpVmDirectoryClient {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, DirectoryError>> {
        Box::pin(self.read_list())
    }
}
