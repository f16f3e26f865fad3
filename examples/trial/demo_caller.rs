//! Caller of the trial deployment.

use std::{error::Error, io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// Credential of the trial's only team.
pub(crate) const TEAM_CREDENTIAL: &str = "trial-team-credential";

/// Caller of the trial deployment.
#[derive(Clone)]
pub(crate) struct DemoCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
}

impl DemoCaller {
    /// Builds a caller of the VMs at `addresses`.
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> DemoCaller {
        DemoCaller { client: Client::builder(TokioExecutor::new()).build_http(), addresses }
    }

    async fn send(
        &self,
        vm: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response<Incoming>, Box<dyn Error + Send + Sync>> {
        let uri = format!("http://{}{path}", self.addresses[vm]);
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("x-team", "joiners")
            .header("authorization", format!("Bearer {TEAM_CREDENTIAL}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(self.client.request(request.body(Full::new(Bytes::from(body)))?).await?)
    }

    /// Streams a response to standard output and returns its number of tokens. Fails if a token is
    /// missing or repeated.
    pub(crate) async fn stream(
        &self,
        vm: usize,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<u64, Box<dyn Error + Send + Sync>> {
        let body =
            json!({ "model": "draft", "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let response =
            self.send(vm, "/v1/completions", &[("x-route", "plan")], body.to_string()).await?;
        let mut body = response.into_body();
        let mut pending = String::new();
        let mut expected = 0;
        print!("  ");
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            pending.push_str(std::str::from_utf8(&data)?);
            while let Some(end) = pending.find("\n\n") {
                let block: String = pending.drain(..end + 2).collect();
                expected += u64::from(print_event(&block, expected)?);
            }
        }
        println!();
        Ok(expected)
    }

    /// Places an order with an idempotency key. Returns the status and body of the response.
    pub(crate) async fn place_order(
        &self,
        vm: usize,
        key: &str,
        attempt: u32,
    ) -> Result<String, Box<dyn Error + Send + Sync>> {
        let attempt = attempt.to_string();
        let headers = [("idempotency-key", key), ("x-attempt", attempt.as_str())];
        let body = json!({ "boards": 40 }).to_string();
        let response = self.send(vm, "/v1/services/ordering/order", &headers, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(format!("{} {}", status.as_u16(), String::from_utf8_lossy(&body)))
    }

    /// Sends short generations to all VMs in turn, at `rate` per second, and never returns. Sends
    /// none if `rate` is 0.
    pub(crate) async fn send_load(&self, rate: u32) {
        if rate == 0 {
            std::future::pending::<()>().await;
        }
        let mut timer = tokio::time::interval(Duration::from_secs(1) / rate);
        for number in 0_usize.. {
            timer.tick().await;
            let caller = self.clone();
            tokio::spawn(async move {
                let body = json!({ "model": "draft", "prompt": "cutting list", "max_tokens": 20 });
                let headers = [("x-route", "plan")];
                let vm = number % caller.addresses.len();
                // The outcome is ignored here; the burn report of the daemons includes it.
                if let Ok(response) =
                    caller.send(vm, "/v1/completions", &headers, body.to_string()).await
                {
                    let _ = response.into_body().collect().await;
                }
            });
        }
    }
}

/// Prints the token of one event and checks its index. Returns whether the event has a token.
fn print_event(block: &str, expected: u64) -> Result<bool, Box<dyn Error + Send + Sync>> {
    let mut index = None;
    for line in block.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            let (_, number) = id.rsplit_once(':').ok_or("an event id has no index")?;
            index = Some(number.parse::<u64>()?);
        }
        if let Some(data) = line.strip_prefix("data: ")
            && let Ok(value) = serde_json::from_str::<Value>(data)
        {
            print!("{}", value["choices"][0]["text"].as_str().unwrap_or_default());
            std::io::stdout().flush()?;
        }
    }
    match index {
        Some(index) if index != expected => Err("a token is missing or repeated".into()),
        Some(_) => Ok(true),
        None => Ok(false),
    }
}
