//! Engines with the only VM, for streams that may run again.

use std::sync::Arc;

use dragonflycart_gateway::{
    CallerRequest, GatewayContext, GatewayFailure, PlannedRoute, ResponseBody, RouteKind,
    ServerRecord, StreamForwarder, TokenDemand,
};
use http_body_util::BodyExt;
use hyper::Response;

use crate::{
    fixtures::{ENGINES, caller_request, context, position, record, route},
    resumable_engines::{Piece, ResumableEngines},
    stub_store::StubStore,
};

/// Requests from which the budget allows some retries.
const BUDGET_REQUESTS: u32 = 40;

pub(crate) fn resumable_route() -> PlannedRoute {
    PlannedRoute { is_resumable: true, ..route("notes", "/notes/", RouteKind::Stream, ENGINES) }
}

/// Context with engines, and retries left.
pub(crate) struct ResumableFleet {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) engines: ResumableEngines,
}

impl ResumableFleet {
    pub(crate) async fn start(count: usize, scripts: Vec<Vec<Piece>>) -> ResumableFleet {
        let context = context(Arc::new(StubStore::default()));
        let engines = ResumableEngines::start(count, scripts).await;
        let now = context.clock.now();
        let mut view = context.view();
        for (index, address) in engines.addresses.iter().enumerate() {
            let record = ServerRecord { address: *address, ..record(ENGINES, "a", 8_000) };
            view.apply_server(&format!("e{index}"), record, position(index as u64), now);
        }
        for _ in 0..BUDGET_REQUESTS {
            view.note_request(ENGINES, now);
        }
        drop(view);
        ResumableFleet { context, engines }
    }

    pub(crate) fn request(&self, route: PlannedRoute) -> CallerRequest {
        caller_request(&self.context, route, TokenDemand::estimate(2_200, 40, Some(10)))
    }

    pub(crate) async fn send(
        &self,
        request: CallerRequest,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        StreamForwarder::new(&self.context, request).run().await
    }

    /// Makes it known that an engine is going to leave.
    pub(crate) fn announce_leaving(&self, engine: usize) {
        let now = self.context.clock.now();
        let address = self.engines.addresses[engine];
        let mut view = self.context.view();
        let mut servers = view.servers();
        let key = servers.find(|(_, state)| state.record.address == address).unwrap().0;
        drop(servers);
        view.note_announced_leaving(key, now);
    }

    /// Uses up the retry budget.
    pub(crate) fn use_budget_up(&self) {
        let now = self.context.clock.now();
        while self.context.view().take_retry(ENGINES, now) {}
    }
}

/// Events of a response, and whether it ended as complete.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedStream {
    pub(crate) ids: Vec<u64>,
    pub(crate) is_complete: bool,
}

pub(crate) async fn receive(response: Response<ResponseBody>) -> ReceivedStream {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let is_complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let text = String::from_utf8(bytes).unwrap();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    ReceivedStream { ids, is_complete }
}

pub(crate) fn whole(count: u64) -> ReceivedStream {
    ReceivedStream { ids: (0..count).collect(), is_complete: true }
}
