//! HTTP client that plays a caller of the deployment.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// Time limit for one response, and for each frame of a streamed one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete response.
#[derive(Debug, Clone)]
pub(crate) struct HttpResponse {
    /// Status code.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Bytes,
}

impl HttpResponse {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns `error.kind` of an error response, or an empty text.
    pub(crate) fn error_kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns `error.run` of an error response, which says whether the request may have been
    /// executed, or an empty text.
    pub(crate) fn run_state(&self) -> String {
        self.json()["error"]["run"].as_str().unwrap_or_default().to_owned()
    }
}

/// Part of a generation that has arrived as server-sent events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct StreamedResponse {
    /// Index of each token, from the event ids.
    pub(crate) indexes: Vec<u64>,
    /// Text of all tokens.
    pub(crate) text: String,
    /// Whether the stream ended with `[DONE]`.
    pub(crate) done: bool,
    /// Id of the last event.
    pub(crate) last_event: String,
    /// Error event, if any.
    pub(crate) error: Option<String>,
    /// Whether the stream ended with a `reconnect` event.
    pub(crate) reconnect: bool,
}

impl StreamedResponse {
    fn parse(&mut self, block: &str) {
        let mut event = "message";
        for line in block.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_event = id.to_owned();
                let (_, index) = id.rsplit_once(':').unwrap();
                self.indexes.push(index.parse().unwrap());
            }
            if let Some(name) = line.strip_prefix("event: ") {
                event = name;
            }
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            match event {
                "error" => self.error = Some(data.to_owned()),
                "reconnect" => self.reconnect = true,
                _ if data == "[DONE]" => self.done = true,
                _ => {
                    let value: Value = serde_json::from_str(data).unwrap();
                    self.text.push_str(value["choices"][0]["text"].as_str().unwrap());
                }
            }
        }
    }
}

/// HTTP client with the credential of one team.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    team: String,
}

impl Caller {
    /// Builds a client for `team`.
    pub(crate) fn new(team: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        Caller { client, team: team.to_owned() }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns the text of a transport error or of the timeout.
    pub(crate) async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpResponse, String> {
        let exchange = async {
            let request = self.request(method, address, path, headers, body.into());
            let response = self.client.request(request).await.map_err(|e| e.to_string())?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
            Ok(HttpResponse { status: parts.status.as_u16(), body })
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.map_err(|e| e.to_string())?
    }

    fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("x-team", &self.team)
            .header("authorization", format!("Bearer {}-credential-0001", self.team));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(body)).unwrap()
    }

    /// Calls an operation of the booking service.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        operation: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse, String> {
        let path = format!("/v1/services/booking/{operation}");
        self.send(Method::POST, address, &path, headers, body.to_owned()).await
    }

    /// Requests a generation on route `report`, without streaming.
    pub(crate) async fn complete(
        &self,
        address: SocketAddr,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<HttpResponse, String> {
        self.complete_on(address, "report", prompt, max_tokens).await
    }

    /// Requests a generation on `route`, without streaming.
    pub(crate) async fn complete_on(
        &self,
        address: SocketAddr,
        route: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<HttpResponse, String> {
        let body = json!({ "model": "assistant", "prompt": prompt, "max_tokens": max_tokens });
        let headers = [("x-route", route)];
        self.send(Method::POST, address, "/v1/completions", &headers, body.to_string()).await
    }

    /// Streams a generation and calls `on_token` after each body frame with everything that has
    /// arrived.
    ///
    /// # Errors
    ///
    /// Returns what arrived before the connection broke. For a refused request that is no token,
    /// with the response body in `error`.
    pub(crate) async fn stream(
        &self,
        address: SocketAddr,
        prompt: &str,
        max_tokens: u32,
        on_token: impl FnMut(&StreamedResponse),
    ) -> Result<StreamedResponse, StreamedResponse> {
        let body = json!({
            "model": "assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let headers = [("x-route", "report")];
        let request = self.request(
            Method::POST,
            address,
            "/v1/completions",
            &headers,
            Bytes::from(body.to_string()),
        );
        self.read_stream(request, StreamedResponse::default(), on_token).await
    }

    /// Resumes a stream, usually at another VM, after the last event that arrived.
    ///
    /// # Errors
    ///
    /// Returns what arrived before the connection broke.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        so_far: StreamedResponse,
    ) -> Result<StreamedResponse, StreamedResponse> {
        self.resume_with(address, so_far, |_| {}).await
    }

    /// Resumes a stream and calls `on_token` after each body frame with everything that has
    /// arrived.
    ///
    /// # Errors
    ///
    /// Returns what arrived before the connection broke.
    pub(crate) async fn resume_with(
        &self,
        address: SocketAddr,
        so_far: StreamedResponse,
        on_token: impl FnMut(&StreamedResponse),
    ) -> Result<StreamedResponse, StreamedResponse> {
        let (id, _) = so_far.last_event.rsplit_once(':').unwrap();
        let path = format!("/v1/generations/{id}");
        let last_event = so_far.last_event.clone();
        let headers = [("last-event-id", last_event.as_str())];
        let request = self.request(Method::GET, address, &path, &headers, Bytes::new());
        let so_far = StreamedResponse { reconnect: false, ..so_far };
        self.read_stream(request, so_far, on_token).await
    }

    async fn read_stream(
        &self,
        request: Request<Full<Bytes>>,
        mut streamed: StreamedResponse,
        mut on_token: impl FnMut(&StreamedResponse),
    ) -> Result<StreamedResponse, StreamedResponse> {
        let Ok(response) = self.client.request(request).await else {
            return Err(streamed);
        };
        let status = response.status();
        let mut body = response.into_body();
        let mut pending = String::new();
        loop {
            let frame = tokio::time::timeout(RESPONSE_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else { break };
            let Ok(data) = frame.into_data() else { continue };
            pending.push_str(std::str::from_utf8(&data).unwrap());
            if !status.is_success() {
                streamed.error = Some(pending.clone());
                continue;
            }
            while let Some(end) = pending.find("\n\n") {
                let block: String = pending.drain(..end + 2).collect();
                streamed.parse(&block);
            }
            on_token(&streamed);
        }
        if streamed.done { Ok(streamed) } else { Err(streamed) }
    }
}
