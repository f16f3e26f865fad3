//! HTTP client of a server of a plain service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::RequestKey;
use hyper::{Method, StatusCode};

use crate::{
    BoxFuture, CallFailure, LoadReport, ServiceClient, ServiceOptions, ServiceRequest,
    ServiceResponse,
    http_client::{
        ConnectionReuse, HttpClient, OutgoingRequest, STATUS_CODES, header_text, server_instance,
    },
    protocol::{
        IDEMPOTENCY_KEY_HEADER, LOAD_PATH, OPERATIONS_PATH, ORDINAL_HEADER, OUTCOME_STATUS_HEADER,
        OUTCOMES_PATH, encode_segment,
    },
};

/// Timeout for a TCP connection; the farthest zone is a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a load report; the next poll replaces a report that is late.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of a server of a plain service.
pub struct HttpServiceClient {
    /// Client for calls and lookups.
    call_client: HttpClient,
    /// Client for load reports.
    poll_client: HttpClient,
    options: ServiceOptions,
}

impl HttpServiceClient {
    /// Builds a client for the server at `address`.
    pub fn new(address: SocketAddr, options: ServiceOptions) -> HttpServiceClient {
        let contact = Arc::default();
        let call_client =
            HttpClient::new(address, CONNECT_TIMEOUT, ConnectionReuse::Never, &contact);
        let poll_client =
            HttpClient::new(address, CONNECT_TIMEOUT, ConnectionReuse::Idle, &contact);
        HttpServiceClient { call_client, poll_client, options }
    }

    async fn send_call(&self, request: ServiceRequest) -> Result<ServiceResponse, CallFailure> {
        let path = format!("{OPERATIONS_PATH}/{}", encode_segment(&request.operation));
        let mut outgoing = OutgoingRequest::new(Method::POST, path, request.body);
        if let Some(key) = request.key {
            outgoing.headers.push((IDEMPOTENCY_KEY_HEADER, String::from(key)));
        }
        if let Some(ordinal) = request.ordinal {
            outgoing.headers.push((ORDINAL_HEADER, ordinal));
        }
        // A late response is still recorded, so a short deadline does not cut the call.
        let timeout = self.options.response_timeout.max(request.time_left);
        let response = self.call_client.send(outgoing, &request.request_id, timeout).await?;
        Ok(ServiceResponse {
            status: response.status().as_u16(),
            instance: server_instance(response.headers()),
            body: response.into_body(),
        })
    }

    async fn send_lookup(&self, key: &RequestKey) -> Result<Option<ServiceResponse>, CallFailure> {
        if !self.options.supports_lookup {
            return Ok(None);
        }
        let mut outgoing =
            OutgoingRequest::new(Method::GET, OUTCOMES_PATH.to_owned(), Bytes::new());
        outgoing.headers.push((IDEMPOTENCY_KEY_HEADER, key.as_str().to_owned()));
        let request_id = self.call_client.next_request_id();
        let timeout = self.options.response_timeout;
        let response = self.call_client.send(outgoing, &request_id, timeout).await?;
        if header_text(response.headers(), IDEMPOTENCY_KEY_HEADER) != Some(key.as_str()) {
            return Err(CallFailure::MismatchedResponse);
        }
        match response.status() {
            StatusCode::NOT_FOUND => return Ok(None),
            StatusCode::OK => {}
            _ => return Err(CallFailure::MaybeSent),
        }
        let status = header_text(response.headers(), OUTCOME_STATUS_HEADER);
        let status = status
            .and_then(|text| text.parse().ok())
            .filter(|status| STATUS_CODES.contains(status))
            .ok_or(CallFailure::MaybeSent)?;
        let instance = server_instance(response.headers());
        Ok(Some(ServiceResponse { status, instance, body: response.into_body() }))
    }

    async fn read_report(&self) -> Result<LoadReport, CallFailure> {
        let outgoing = OutgoingRequest::new(Method::GET, LOAD_PATH.to_owned(), Bytes::new());
        let request_id = self.poll_client.next_request_id();
        let response = self.poll_client.send(outgoing, &request_id, REPORT_TIMEOUT).await?;
        serde_json::from_slice(response.body()).map_err(|_| CallFailure::MaybeSent)
    }
}

impl ServiceClient for HttpServiceClient {
    fn call(&self, request: ServiceRequest) -> BoxFuture<'_, Result<ServiceResponse, CallFailure>> {
        Box::pin(self.send_call(request))
    }

    fn lookup<'a>(
        &'a self,
        key: &'a RequestKey,
    ) -> BoxFuture<'a, Result<Option<ServiceResponse>, CallFailure>> {
        Box::pin(self.send_lookup(key))
    }

    fn report(&self) -> BoxFuture<'_, Result<LoadReport, CallFailure>> {
        Box::pin(self.read_report())
    }
}
