//! Client of the administration API over several VMs.

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

/// Longest wait for a TCP connection; entry VMs answer within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted answer. The counts of 30 objectives take a few MiB.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Client of the administration API. It asks the VMs in the given order until one answers.
#[derive(Debug, Clone)]
pub struct AdminClient {
    servers: Vec<SocketAddr>,
    credential: OperatorCredential,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Builds a client for the VMs at `servers`; each gets `timeout` to answer.
    pub fn new(
        servers: Vec<SocketAddr>,
        credential: OperatorCredential,
        timeout: Duration,
    ) -> AdminClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        AdminClient { servers, credential, timeout, client }
    }

    /// Returns the addresses of the VMs.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Returns the same client for one VM only.
    #[must_use]
    pub fn for_server(&self, server: SocketAddr) -> AdminClient {
        AdminClient { servers: vec![server], ..self.clone() }
    }

    /// Fetches the plan in effect.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn plan(&self) -> Result<PlanResponse, AdminError> {
        self.get(PLAN_PATH).await
    }

    /// Fetches the status of the first VM that answers.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn status(&self) -> Result<StatusResponse, AdminError> {
        self.get(STATUS_PATH).await
    }

    /// Fetches the version moves.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn moves(&self) -> Result<MovesResponse, AdminError> {
        self.get(MOVES_PATH).await
    }

    /// Fetches the counts of service-level objectives of the first VM that answers.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn burn(&self) -> Result<BurnSnapshot, AdminError> {
        self.get(BURN_PATH).await
    }

    /// Submits a plan once. After an error the outcome is unknown.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn submit(&self, request: &SubmitRequest) -> Result<SubmitResponse, AdminError> {
        self.exchange(Method::POST, PLAN_PATH, &to_body(request)).await
    }

    /// Fetches the outcome of a submission.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
    pub async fn submission(&self, id: &SubmitId) -> Result<SubmitResponse, AdminError> {
        self.get(&format!("{SUBMISSIONS_PATH}/{id}")).await
    }

    /// Asks once for a change of the state of an availability zone. After an error the outcome
    /// is unknown.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM gave a usable answer.
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

    /// Asks each VM in turn. All requests may be repeated: reads have no effect, and changes
    /// carry the identity of their submission.
    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, AdminError> {
        let mut failures: Vec<AdminError> = Vec::new();
        for server in &self.servers {
            let result = match self.exchange_once(*server, &method, path, body).await {
                Ok((status, answer)) => read_answer(*server, status, &answer),
                Err(error) => Err(error),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let ask_another = helps_to_ask_another(&error);
                    failures.push(error);
                    if !ask_another {
                        break;
                    }
                }
            }
        }
        Err(summarise(failures))
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
        let lost = |reason: &str| AdminError::NoAnswer(format!("{server} ({reason})"));
        let answer = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    AdminError::NotSent(format!("{server} (no connection)"))
                } else {
                    lost("the connection broke")
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await;
            let body = body.map_err(|_| lost("the answer broke off"))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(result) => result,
            Err(_) => Err(lost("no answer in time")),
        }
    }
}

fn to_body<T: Serialize>(request: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(request).unwrap_or_default())
}

fn read_answer<T: DeserializeOwned>(
    server: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, AdminError> {
    if let Ok(answer) = serde_json::from_slice::<ErrorResponse>(body) {
        return Err(AdminError::Rejected(answer.error));
    }
    serde_json::from_slice(body).map_err(|error| {
        AdminError::BadAnswer(server.to_string(), format!("status {status}, {error}"))
    })
}

/// Another VM may reach the log service or be ready when this one is not.
fn helps_to_ask_another(error: &AdminError) -> bool {
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

/// Combines the failures of several VMs. A clear rejection by one VM does not undo what another
/// may have received, so the request counts as received if any VM may have received it.
fn summarise(failures: Vec<AdminError>) -> AdminError {
    let texts: Vec<_> = failures
        .iter()
        .map(|failure| match failure {
            AdminError::NotSent(text) | AdminError::NoAnswer(text) => text.clone(),
            AdminError::Rejected(_) | AdminError::BadAnswer(..) => failure.to_string(),
        })
        .collect();
    let text = texts.join(", ");
    if let [single] = failures.as_slice() {
        return single.clone();
    }
    if failures.iter().any(AdminError::maybe_run) {
        return AdminError::NoAnswer(text);
    }
    let rejected = failures.into_iter().rfind(|error| matches!(error, AdminError::Rejected(_)));
    rejected.unwrap_or(AdminError::NotSent(text))
}

/// Encodes the characters of names that have a meaning in a path.
fn encode_segment(text: &str) -> String {
    text.replace('/', "%2F").replace(':', "%3A")
}
