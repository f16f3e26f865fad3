//! Fixtures shared by the tests.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_admission::AdmissionClass;
use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{
    CallerLimits, CallerRequest, ConnectionPool, EngineSpec, ExposureLimit, FleetOrder, FleetStore,
    FleetView, GatewayContext, HeaderNames, PlacementQuery, PlannedRoute, PlannedService,
    PlannedTeam, RouteKind, RoutePlan, ServerKey, ServerRecord, StorePosition, TokenDemand,
    VmSettings,
};
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::stub_protocol::StubProtocol;

/// Service of engines.
pub(crate) const ENGINES: &str = "assistant";
/// Plain service.
pub(crate) const DESK: &str = "desk";
/// Service with engines that no test starts.
pub(crate) const BATCH: &str = "batch";
/// Memory of an engine, in tokens.
pub(crate) const MEMORY_TOKENS: u64 = 27_000;

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(60_000 + millis)
}

/// Returns a position in the first era of the store.
pub(crate) fn position(offset: u64) -> StorePosition {
    StorePosition::new(0, offset)
}

pub(crate) fn settings() -> VmSettings {
    VmSettings {
        name: "vm-a-1".to_owned(),
        zone: "a".to_owned(),
        ip: "127.0.0.1".parse().unwrap(),
        caller_address: "127.0.0.1:0".parse().unwrap(),
        ready_address: "127.0.0.1:0".parse().unwrap(),
        peer_port: 0,
        memory_bytes: 110 << 20,
        cpu_share: 0.25,
        stop_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_allowance: 58.0,
        exposure: ExposureLimit { share: 0.1, allowance: 50.0 },
        revocation_time: None,
        retry_window: Duration::from_secs(10),
        cloud: None,
    }
}

pub(crate) fn route(name: &str, prefix: &str, kind: RouteKind, service: &str) -> PlannedRoute {
    PlannedRoute {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        time_limit: Duration::from_secs(6),
        latency_target: Duration::from_millis(1_500),
        pause_target: Some(Duration::from_millis(180)),
        priority: 0,
        services: vec![(service.to_owned(), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    }
}

pub(crate) fn engine_spec() -> EngineSpec {
    EngineSpec {
        memory_tokens: MEMORY_TOKENS,
        can_move: true,
        can_back_up: true,
        tokens_per_event: 4,
        token_copy_time: Duration::from_micros(55),
    }
}

/// Plan with an engine service of its own that has a deferrable route, so that VMs order what waits.
/// No server serves it.
pub(crate) fn plan(version: u64) -> RoutePlan {
    let batch = PlannedRoute {
        priority: 2,
        latency_target: Duration::from_secs(4),
        ..route("batch", "/batch/", RouteKind::Stream, BATCH)
    };
    let service = |name: &str, cold_rate, engine| PlannedService {
        name: name.to_owned(),
        cold_rate,
        health_path: "/health".to_owned(),
        engine,
        scaling: None,
    };
    RoutePlan::new(
        version,
        vec![
            route("reports", "/reports/", RouteKind::Stream, ENGINES),
            route("bookings", "/bookings/", RouteKind::NonIdempotent, DESK),
            route("urgent", "/bookings/urgent/", RouteKind::NonIdempotent, DESK),
            route("chat", "/chat/", RouteKind::Stream, BATCH),
            batch,
        ],
        vec![
            service(ENGINES, 38.0, Some(engine_spec())),
            service(DESK, 0.0, None),
            service(BATCH, 0.0, Some(engine_spec())),
        ],
        CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        Some(vec![PlannedTeam {
            name: "studio".to_owned(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: 1,
        }]),
    )
}

pub(crate) fn record(service: &str, zone: &str, port: u16) -> ServerRecord {
    ServerRecord {
        service: service.to_owned(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        zone: zone.to_owned(),
        version: "v1".to_owned(),
        slots: 24,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_at_ms: Some(1),
    }
}

/// Returns a view of the only VM, with the plan and one engine per given zone, named `e0`, `e1` and so
/// on.
pub(crate) fn view(zones: &[&str]) -> FleetView {
    view_of(settings(), zones)
}

/// Returns the same view of a VM with other settings.
pub(crate) fn view_of(settings: VmSettings, zones: &[&str]) -> FleetView {
    let mut view = FleetView::new(Arc::new(settings));
    view.sharing_vms = 1;
    view.apply_order(FleetOrder::Plan(Arc::new(plan(1))), at(0));
    for (index, zone) in zones.iter().enumerate() {
        let port = 8_000 + index as u16;
        view.apply_server(
            &format!("e{index}"),
            record(ENGINES, zone, port),
            position(index as u64),
            at(0),
        );
    }
    view.note_servers_known();
    view
}

pub(crate) fn report() -> TokenDemand {
    TokenDemand::estimate(3_000, 1_600, Some(800))
}

pub(crate) fn query<'a>(
    demand: TokenDemand,
    excluded: &'a BTreeSet<ServerKey>,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service: ENGINES,
        demand,
        latency_target: Duration::from_millis(1_500),
        pause_target: Some(Duration::from_millis(180)),
        shared_prefix: None,
        preferred_zone: None,
        moved_tokens: 0,
        spread_seed: None,
        sample_seed: 0,
        admission: AdmissionClass::Unmanaged,
        excluded,
    }
}

pub(crate) fn key_of(view: &FleetView, id: &str) -> ServerKey {
    view.servers().find(|(_, state)| state.id == id).map(|(key, _)| key).unwrap()
}

/// Header names of the tests.
pub(crate) const NAMES: HeaderNames = HeaderNames {
    attempt: "x-echo-id",
    time_left: "x-time-left",
    expected_server: "x-expected-server",
    server_id: "x-server-id",
    team: "x-team",
    auth_scheme: "Key",
    signature: "x-signature",
    not_run: "x-not-run",
    load: "x-load",
    leaving: "x-leaving",
    cold_left: "x-cold-left",
    token_counts: "x-token-counts",
    length_hint: "x-length-hint",
    prompt_prefixes: "x-prompt-prefixes",
    urgency: "x-urgency",
    resume_from: "x-resume-from",
    backup_at: "x-backup-at",
    reserved: &[],
    internal: &[],
};

/// Returns the context of the only VM, with the plan and no servers.
pub(crate) fn context(store: Arc<dyn FleetStore>) -> Arc<GatewayContext> {
    context_with_pool(store, ConnectionPool::default())
}

/// Returns the same for a VM whose connections to servers come from `pool`.
pub(crate) fn context_with_pool(
    store: Arc<dyn FleetStore>,
    pool: ConnectionPool,
) -> Arc<GatewayContext> {
    let mut context =
        GatewayContext::new(Arc::new(settings()), NAMES, store, Arc::new(StubProtocol));
    context.pool = Arc::new(pool);
    {
        let mut view = context.view();
        view.sharing_vms = 1;
        view.apply_order(FleetOrder::Plan(Arc::new(plan(1))), context.clock.now());
        view.note_servers_known();
    }
    Arc::new(context)
}

/// Returns a request `a1` of a route's service, with the time limit of the route.
pub(crate) fn caller_request(
    context: &GatewayContext,
    route: PlannedRoute,
    demand: TokenDemand,
) -> CallerRequest {
    let arrived = Instant::now();
    CallerRequest {
        attempt: "a1".to_owned(),
        service: route.services[0].0.clone(),
        admission: AdmissionClass::Unmanaged,
        deadline: arrived + route.time_limit,
        route,
        team: None,
        credential: None,
        team_priority: 0,
        method: Method::GET,
        target: "/any/1".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        body_reservation: Arc::new(context.bodies.empty_reservation()),
        has_body: false,
        arrived,
        sample_seed: 1,
        demand,
        prompt_parts: Vec::new(),
        trial_part: None,
        last_event: None,
    }
}
