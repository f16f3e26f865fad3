//! Fixtures and helpers of the tests.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_core::{ModelName, OrderFence, PlanRevision, RouteName, TeamName, VersionName};
use dragonflycart_engine::{
    EngineError, GenerationRequest, ServiceOptions, ServiceRequest, StreamEvent, TokenStream,
};
use dragonflycart_testkit::{EngineConfig, TokenSource};
use futures::StreamExt;
use tokio::net::TcpListener;

/// Seed and prompt of all generations in the tests.
pub const SEED: u64 = 7;
pub const PROMPT: &str = "plan the hives of the north yard";

/// Maximum time that a test waits for one event or condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub fn version(text: &str) -> VersionName {
    VersionName::new(text).expect("the version is a valid name")
}

pub fn model() -> ModelName {
    ModelName::new("drafter").expect("the model is a valid name")
}

pub fn request(generation: &str, max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        generation: generation.to_owned(),
        epoch: 0,
        model: model(),
        version: version("v1"),
        prompt: PROMPT.to_owned(),
        forced_prefix: Vec::new(),
        max_tokens,
        seed: SEED,
        priority: 1,
        team: TeamName::new("north").expect("the team is a valid name"),
        route: RouteName::new("draft").expect("the route is a valid name"),
        ordinal: None,
    }
}

pub fn source() -> TokenSource {
    TokenSource::new("v1", SEED, PROMPT)
}

pub fn fast_engine() -> EngineConfig {
    EngineConfig { pace_ms: 1, ..EngineConfig::default() }
}

pub fn fence(revision: u64, sequence: u64) -> OrderFence {
    OrderFence { revision: PlanRevision(revision), sequence }
}

pub fn call(request_id: &str, key: &str) -> ServiceRequest {
    ServiceRequest {
        request_id: request_id.to_owned(),
        key: Some(key.parse().expect("the key is a valid name")),
        operation: "book".to_owned(),
        body: Bytes::from(format!("body of {key}")),
        ordinal: None,
        time_left: Duration::ZERO,
    }
}

pub fn short_options() -> ServiceOptions {
    ServiceOptions { response_timeout: Duration::from_millis(500), supports_lookup: true }
}

/// Returns an address on which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port is available");
    listener.local_addr().expect("the listener has an address")
}

/// Returns the next event; panics at the end of the stream or after `TEST_TIMEOUT`.
pub async fn next_event(stream: &mut TokenStream) -> Result<StreamEvent, EngineError> {
    let item = tokio::time::timeout(TEST_TIMEOUT, stream.next()).await;
    item.expect("an event arrives in time").expect("the stream has not ended")
}

/// Reads the tokens from `first` to `last`, both included, and checks each against `source()`.
pub async fn read_through(stream: &mut TokenStream, first: u64, last: u64) {
    let mut expected = first;
    while expected <= last {
        match next_event(stream).await.expect("the stream is intact") {
            StreamEvent::Token { index, id, text, .. } => {
                assert_eq!(index, expected);
                assert_eq!(id, source().token_id(index));
                assert_eq!(text, TokenSource::token_text(index));
                expected += 1;
            }
            StreamEvent::Heartbeat { .. } => {}
            other => panic!("unexpected event {other:?} before token {expected}"),
        }
    }
}

/// Reads up to the first event that is neither a token nor a heartbeat. Returns it, or the error.
pub async fn read_to_end(stream: &mut TokenStream) -> Result<StreamEvent, EngineError> {
    loop {
        match next_event(stream).await {
            Ok(StreamEvent::Token { .. } | StreamEvent::Heartbeat { .. }) => {}
            end => return end,
        }
    }
}

/// Waits until `condition` holds; panics after `TEST_TIMEOUT`.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(), "not reached: {what}");
}
