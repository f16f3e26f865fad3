//! Client of the administration API of several VMs.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::{ErrorKind, ZoneName};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    AdminError, OperatorCredential,
    api::{
        BURN_PATH, ErrorResponse, MOVES_PATH, MovesResponse, PLAN_PATH, PlanResponse, STATUS_PATH,
        SUBMISSIONS_PATH, StatusResponse, SubmitId, SubmitRequest, SubmitResponse, ZONES_PATH,
        ZoneRequest,
    },
};

/// Connect timeout; entry VMs accept connections within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size limit of a response body. The counts of 30 objectives take a few MiB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the administration API. It tries the VMs in the given order until one responds. Each
/// request has a connection of its own: responses echo no ID, so on a used connection a second copy
/// of an earlier response would be taken for the response to the next request.
#[derive(Debug, Clone)]
pub struct AdminClient {
    servers: Vec<SocketAddr>,
    credential: OperatorCredential,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Creates a client for the VMs at `servers`; `timeout` applies to each VM.
    pub fn new(
        servers: Vec<SocketAddr>,
        credential: OperatorCredential,
        timeout: Duration,
    ) -> AdminClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        AdminClient { servers, credential, timeout, client }
    }

    /// Returns the addresses of the VMs.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Returns a client with the same credential and timeout for one VM only.
    #[must_use]
    pub fn for_server(&self, server: SocketAddr) -> AdminClient {
        AdminClient { servers: vec![server], ..self.clone() }
    }

    /// Fetches the active plan.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn plan(&self) -> Result<PlanResponse, AdminError> {
        self.get(PLAN_PATH).await
    }

    /// Fetches the status of the first VM that responds.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn status(&self) -> Result<StatusResponse, AdminError> {
        self.get(STATUS_PATH).await
    }

    /// Fetches the version moves.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn moves(&self) -> Result<MovesResponse, AdminError> {
        self.get(MOVES_PATH).await
    }

    /// Fetches the counts of service-level objectives of the first VM that responds.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn burn(&self) -> Result<BurnSnapshot, AdminError> {
        self.get(BURN_PATH).await
    }

    /// Submits a plan, without following its outcome. [`AdminError::maybe_run`] says whether a
    /// failed request may have had an effect.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn submit(&self, request: &SubmitRequest) -> Result<SubmitResponse, AdminError> {
        self.exchange(Method::POST, PLAN_PATH, &to_body(request)).await
    }

    /// Fetches the outcome of a submission.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn submission(&self, id: &SubmitId) -> Result<SubmitResponse, AdminError> {
        self.get(&format!("{SUBMISSIONS_PATH}/{id}")).await
    }

    /// Requests a change of the state of an availability zone, without following its outcome.
    /// [`AdminError::maybe_run`] says whether a failed request may have had an effect.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn change_zone(
        &self,
        zone: &ZoneName,
        request: &ZoneRequest,
    ) -> Result<SubmitResponse, AdminError> {
        let path = format!("{ZONES_PATH}/{}", encode_segment(zone.as_str()));
        self.exchange(Method::POST, &path, &to_body(request)).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        self.exchange(Method::GET, path, &Bytes::new()).await
    }

    /// Sends the request to each VM in turn. Every request is idempotent: reads have no effect, and
    /// changes carry the id of their submission.
    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, AdminError> {
        let mut failures: Vec<AdminError> = Vec::new();
        for server in &self.servers {
            let result = match self.exchange_once(*server, &method, path, body).await {
                Ok((status, body)) => parse_response(*server, status, &body),
                Err(error) => Err(error),
            };
            match result {
                Ok(response) => return Ok(response),
                Err(error) => {
                    let try_next = can_try_next_server(&error);
                    failures.push(error);
                    if !try_next {
                        break;
                    }
                }
            }
        }
        Err(combine_failures(failures))
    }

    async fn exchange_once(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<(StatusCode, Bytes), AdminError> {
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{server}{path}"))
            .header(AUTHORIZATION, self.credential.header_value())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.clone()))
            .map_err(|_| AdminError::NotSent(format!("{path} is not a path")))?;
        let no_response = |reason: &str| AdminError::NoResponse(format!("{server} ({reason})"));
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    AdminError::NotSent(format!("{server} (no connection)"))
                } else {
                    no_response("the connection was lost")
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|_| no_response("the response was cut off"))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(no_response("timeout")),
        }
    }
}

fn to_body<T: Serialize>(request: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(request).unwrap_or_default())
}

fn parse_response<T: DeserializeOwned>(
    server: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, AdminError> {
    if let Ok(response) = serde_json::from_slice::<ErrorResponse>(body) {
        return Err(AdminError::Rejected(response.error));
    }
    serde_json::from_slice(body).map_err(|error| {
        AdminError::InvalidResponse(server.to_string(), format!("status {status}, {error}"))
    })
}

/// Returns whether another VM may succeed: it may reach the log service or be ready when this one
/// is not.
fn can_try_next_server(error: &AdminError) -> bool {
    let AdminError::Rejected(body) = error else { return true };
    matches!(
        body.kind,
        ErrorKind::Draining
            | ErrorKind::LogUnavailable
            | ErrorKind::Overloaded
            | ErrorKind::OutcomeUnknown
            | ErrorKind::Internal
    )
}

/// Combines the failures of several VMs. If any VM may have received the request, the result says
/// so, even if another VM rejected it.
fn combine_failures(failures: Vec<AdminError>) -> AdminError {
    let texts: Vec<_> = failures
        .iter()
        .map(|failure| match failure {
            AdminError::NotSent(text) | AdminError::NoResponse(text) => text.clone(),
            AdminError::Rejected(_) | AdminError::InvalidResponse(..) => failure.to_string(),
        })
        .collect();
    let text = texts.join(", ");
    if let [single] = failures.as_slice() {
        return single.clone();
    }
    if failures.iter().any(AdminError::maybe_run) {
        return AdminError::NoResponse(text);
    }
    let rejected = failures.into_iter().rfind(|error| matches!(error, AdminError::Rejected(_)));
    rejected.unwrap_or(AdminError::NotSent(text))
}

/// Percent-encodes the characters of names that are reserved in a path.
fn encode_segment(text: &str) -> String {
    text.replace('/', "%2F").replace(':', "%3A")
}
