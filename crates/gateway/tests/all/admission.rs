//! Admission to engines with a deferrable route. Each test describes its load pattern.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_admission::{AdmissionClass, AdmissionTable, Waiter};
use dragonflycart_core::ErrorKind;
use dragonflycart_gateway::{
    CallerLimits, CallerRequest, FleetView, GatewayContext, LoadEntry, PeerReport, PlacementQuery,
    PlannedRoute, PlannedService, RouteKind, RoutePlan, ServerLoad, TokenDemand, apply_report,
    fill_report, reserve_engine,
};
use prost::Message;

use crate::{
    fixtures::{
        DESK, ENGINES, MEMORY_TOKENS, at, caller_request, context, engine_spec, position, query,
        record, report, route, view,
    },
    stub_store::StubStore,
};

fn route_of(name: &str, priority: u8, target_ms: u64, service: &str) -> PlannedRoute {
    PlannedRoute {
        priority,
        latency_target: Duration::from_millis(target_ms),
        time_limit: Duration::from_secs(39),
        ..route(name, &format!("/{name}/"), RouteKind::Stream, service)
    }
}

fn plan_of(routes: &[PlannedRoute]) -> RoutePlan {
    let service = |name: &str, engine| PlannedService {
        name: name.to_owned(),
        cold_rate: 0.0,
        health_path: "/health".to_owned(),
        engine,
        scaling: None,
    };
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = vec![service(ENGINES, Some(engine_spec())), service(DESK, None)];
    RoutePlan::new(2, routes.to_vec(), services, limits, None)
}

fn classes(routes: &[PlannedRoute]) -> Vec<AdmissionClass> {
    let plan = plan_of(routes);
    routes.iter().map(|route| plan.admission_class(route, &route.services[0].0)).collect()
}

/// Pattern: the two deployments of `hard-load.md`. Their long streams are deferrable.
#[test]
fn less_urgent_route_with_a_longer_target_is_deferrable() {
    for (rank, target_ms) in [(2, 4_000), (1, 1_800)] {
        let long = route_of("reports", rank, target_ms, ENGINES);
        let short = route_of("verdicts", 0, 1_500, ENGINES);

        assert_eq!(classes(&[long, short]), [AdmissionClass::Deferrable, AdmissionClass::Urgent]);
    }
}

/// Pattern: earlier deployments. Their order and limits must stay as they were.
#[test]
fn other_services_are_not_managed() {
    let unmanaged = AdmissionClass::Unmanaged;
    let same_rank =
        [route_of("reports", 1, 4_000, ENGINES), route_of("verdicts", 1, 1_500, ENGINES)];
    let less_urgent_but_faster =
        [route_of("reports", 1, 1_000, ENGINES), route_of("verdicts", 0, 1_500, ENGINES)];
    let plain = [route_of("bookings", 1, 4_000, DESK), route_of("urgent", 0, 1_500, DESK)];
    let apart = [route_of("bookings", 1, 4_000, DESK), route_of("verdicts", 0, 1_500, ENGINES)];

    for routes in [same_rank, less_urgent_but_faster, plain, apart] {
        assert_eq!(classes(&routes), [unmanaged, unmanaged], "{routes:?}");
    }
}

fn query_of(
    class: AdmissionClass,
    excluded: &BTreeSet<dragonflycart_gateway::ServerKey>,
) -> PlacementQuery<'_> {
    PlacementQuery { admission: class, ..query(report(), excluded) }
}

/// Lets one of five engines leave with `tokens`, and fills the others to `fill`.
fn view_after_leave(tokens: u64, fill: f64) -> FleetView {
    let mut view = view(&["a"; 5]);
    let load = |tokens| ServerLoad { requests: 5, tokens, ..ServerLoad::default() };
    view.note_peer_load(7, "e0", load(tokens), at(0));
    for id in ["e1", "e2", "e3", "e4"] {
        view.note_peer_load(7, id, load((MEMORY_TOKENS as f64 * fill) as u64), at(0));
    }
    view.note_leaving("e0", Some(1), true, at(10));
    view
}

/// Pattern: full engines leave every few seconds. Generations that have to move found no room on
/// engines that were full of other long ones.
#[test]
fn deferrable_requests_leave_room_for_moves_and_urgent_requests() {
    let excluded = BTreeSet::new();
    let mut view = view_after_leave(20_000, 0.75);
    let moved = PlacementQuery { preferred_zone: Some("a"), ..query(report(), &excluded) };

    let deferrable = view.place(&query_of(AdmissionClass::Deferrable, &excluded), at(20));
    let urgent = view.place(&query_of(AdmissionClass::Urgent, &excluded), at(20));
    let moved = view.place(&moved, at(20));

    assert!(
        (view.move_room(ENGINES, at(20)) - 20_000.0 / (4.0 * MEMORY_TOKENS as f64)).abs() < 0.001
    );
    assert_eq!(deferrable, Err(ErrorKind::Overloaded));
    assert!(urgent.is_ok());
    assert!(moved.is_ok());
}

/// Pattern: no engine left lately. The room must not lie idle.
#[test]
fn deferrable_requests_use_all_room_while_no_engine_leaves() {
    let excluded = BTreeSet::new();
    let mut view = view_after_leave(20_000, 0.75);
    let load = ServerLoad { requests: 5, tokens: 20_000, ..ServerLoad::default() };
    for id in ["e1", "e2", "e3", "e4"] {
        view.note_peer_load(7, id, load, at(11_000));
    }

    assert!(view.place(&query_of(AdmissionClass::Deferrable, &excluded), at(11_000)).is_ok());
}

/// Pattern: an engine has just started, and many VMs choose before they see each other's requests.
/// Guards against requests of all VMs that meet at that engine.
#[test]
fn managed_requests_of_many_vms_choose_different_engines() {
    let context = context(Arc::new(StubStore::default()));
    let excluded = BTreeSet::new();
    let mut chosen = BTreeSet::new();

    for seed in 0..40 {
        let mut request = request_of(&context, 4_000);
        request.admission = AdmissionClass::Deferrable;
        request.sample_seed = seed;
        let mut view = view(&["a"; 8]);
        chosen.insert(view.place(&request.query(&excluded), at(0)).unwrap().id);
    }

    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// Pattern: an empty engine and a request larger than the limit of deferrable ones. It must not wait
/// for room that never becomes free.
#[test]
fn large_deferrable_request_goes_to_an_empty_engine() {
    let excluded = BTreeSet::new();
    let mut view = view(&["a"]);
    let huge = TokenDemand::estimate(2 * MEMORY_TOKENS, 10, None);
    let query = PlacementQuery { demand: huge, ..query_of(AdmissionClass::Deferrable, &excluded) };

    assert!(view.room_tokens(&query, at(0)) >= huge.reserved_tokens());
    assert!(view.place(&query, at(0)).is_ok());
}

/// Pattern: placements until no more fit. The room that estimates are based on must be that which
/// placement finds.
#[test]
fn room_is_what_placement_can_use() {
    let excluded = BTreeSet::new();
    for class in [AdmissionClass::Deferrable, AdmissionClass::Urgent] {
        let mut view = view_after_leave(15_000, 0.3);
        let query = query_of(class, &excluded);
        let expected = view.room_tokens(&query, at(20)) / report().reserved_tokens();

        let mut placed = 0;
        while view.place(&query, at(20)).is_ok() {
            placed += 1;
        }

        assert_eq!(placed, expected, "{class}");
    }
}

/// Returns the context of a VM with one full engine, whose memory becomes free at `per_second`
/// tokens per second.
fn busy_context(per_second: u64) -> Arc<GatewayContext> {
    let context = context(Arc::new(StubStore::default()));
    let now = context.clock.now();
    let mut view = context.view();
    view.apply_server("e0", record(ENGINES, "a", 8_000), position(0), now);
    let load = ServerLoad { requests: 7, tokens: MEMORY_TOKENS, ..ServerLoad::default() };
    view.note_peer_load(7, "e0", load, now);
    drop(view);
    for _ in 0..5 {
        context.admission.table().note_freed(ENGINES, per_second / 5, now);
    }
    context
}

fn request_of(context: &GatewayContext, target_ms: u64) -> CallerRequest {
    CallerRequest {
        admission: AdmissionClass::Deferrable,
        ..caller_request(context, route_of("reports", 2, target_ms, ENGINES), report())
    }
}

/// Pattern: overload. A request that can't begin before its caller gives up was kept until then, and
/// its caller could not use the time to try again.
#[tokio::test]
async fn request_that_would_wait_in_vain_is_refused_on_arrival() {
    let context = busy_context(500);
    let request = request_of(&context, 500);

    let began = tokio::time::Instant::now();
    let refusal = reserve_engine(&context, &request, &BTreeSet::new()).await.err().unwrap();

    assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    // 3,576 tokens at 500 per second.
    let retry_after = refusal.retry_after.unwrap();
    assert!((6_000..8_000).contains(&retry_after.as_millis()), "{retry_after:?}");
    assert_eq!(context.admission.table().queue.count(ENGINES), 0);
    let metrics = context.metrics.encode();
    assert!(metrics.contains("engine_refusals_total{reason=\"wait_too_long\"} 1"), "{metrics}");
    assert!(metrics.contains("engine_waiting{rank=\"2\"} 0"), "{metrics}");
}

/// Pattern: a short overload, or a VM that knows nothing about the engines yet. The request waits as
/// long as its caller does, and begins at once when room becomes free.
#[tokio::test]
async fn request_waits_while_it_may_be_served() {
    for per_second in [4_000, 0] {
        let context = busy_context(per_second);
        let request = request_of(&context, 500);
        let later = Arc::clone(&context);
        tokio::spawn(async move {
            // Three latency targets, the limit of other services, have passed by then.
            tokio::time::sleep(Duration::from_millis(1_600)).await;
            later.view().clear_peer_loads(7, &BTreeSet::new());
        });

        let reservation = reserve_engine(&context, &request, &BTreeSet::new()).await;

        assert!(reservation.is_ok(), "{per_second}: {:?}", reservation.err());
    }
}

/// Pattern: a long request waits that could begin soon, and then a burst of urgent ones at another
/// VM takes all that becomes free.
/// Guards against a request that is kept until its caller gives up although it is known earlier
/// that it can't begin in time, and against a refusal that callers take for a run.
#[tokio::test]
async fn request_that_can_no_longer_be_served_is_refused_while_it_waits() {
    let context = busy_context(4_000);
    let request = request_of(&context, 2_000);
    let mut urgent = waiting_table();
    for _ in 0..100 {
        let waiter = Waiter {
            service: ENGINES.to_owned(),
            class: AdmissionClass::Urgent,
            rank: 0,
            team: "studio".to_owned(),
            tokens: 3_000,
            late_at: at(60_000),
            aged_at: at(60_000),
        };
        urgent.enqueue(waiter, at(0));
    }
    let burst = report_of(&mut urgent);
    let other = Arc::clone(&context);
    let load = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let (mut table, now) = (other.admission.table(), other.clock.now());
            table.note_freed(ENGINES, 400, now);
            apply_report(&burst, &mut table, Duration::from_millis(300), now);
            drop(table);
            let load = ServerLoad { requests: 7, tokens: MEMORY_TOKENS, ..ServerLoad::default() };
            other.view().note_peer_load(7, "e0", load, now);
        }
    });

    let refusal = reserve_engine(&context, &request, &BTreeSet::new()).await.err().unwrap();
    load.abort();

    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert!(refusal.retry_after.unwrap() > Duration::from_secs(4), "{:?}", refusal.retry_after);
    let metrics = context.metrics.encode();
    let sample = "engine_refusals_total{reason=\"wait_became_too_long\"} 1";
    assert!(metrics.contains(sample), "{metrics}");
    assert_eq!(context.admission.table().queue.count(ENGINES), 0);
}

/// Pattern: a caller states a prompt of a billion tokens, and others wait behind its request.
/// Guards against estimates for the others that are too long because of it: like any request that
/// is larger than an engine, it needs one empty engine.
#[tokio::test]
async fn oversized_request_does_not_lengthen_the_estimates_of_others() {
    let context = busy_context(4_000);
    let huge = CallerRequest {
        demand: TokenDemand::estimate(1_000_000_000, 10, None),
        ..request_of(&context, 4_000)
    };
    let first = Arc::clone(&context);
    let waiting =
        tokio::spawn(async move { reserve_engine(&first, &huge, &BTreeSet::new()).await.is_ok() });
    while context.admission.table().queue.count(ENGINES) == 0 {
        assert!(!waiting.is_finished(), "it was refused because of its own size");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    let demand = context.admission.table().own_demand(context.clock.now());
    waiting.abort();

    assert_eq!(demand[ENGINES].ranks[&2].tokens, MEMORY_TOKENS);
}

/// Returns the table of a VM at which a long and a short stream wait, after generations ended.
fn waiting_table() -> AdmissionTable {
    let mut table = AdmissionTable::default();
    for (rank, class) in [(0, AdmissionClass::Urgent), (2, AdmissionClass::Deferrable)] {
        let waiter = Waiter {
            service: ENGINES.to_owned(),
            class,
            rank,
            team: "studio".to_owned(),
            tokens: 3_000,
            late_at: at(1_500),
            aged_at: at(3_000),
        };
        table.enqueue(waiter, at(0));
    }
    for index in 0..10 {
        table.note_freed(ENGINES, 3_500, at(index * 100));
    }
    table.team_use.charge("studio", 9_000, at(1_000));
    table.note_promise(ENGINES, 2_500, Duration::from_secs(5), at(0));
    table.note_promise(ENGINES, 1_500, Duration::from_millis(900), at(0));
    table
}

fn report_of(table: &mut AdmissionTable) -> PeerReport {
    let mut report = PeerReport { name: "vm-a-2".to_owned(), boot: 2, ..PeerReport::default() };
    fill_report(&mut report, table, at(1_000));
    report
}

/// Pattern: requests wait at all VMs. Each VM alone would see a short queue and little that becomes
/// free.
#[test]
fn report_tells_the_demand_and_the_use_of_teams() {
    let bytes = report_of(&mut waiting_table()).into_datagram();
    let report = PeerReport::decode(bytes.as_slice()).unwrap();
    let mut table = AdmissionTable::default();

    apply_report(&report, &mut table, Duration::from_millis(300), at(1_000));

    let demand = &table.fleet_demand;
    assert_eq!(demand.urgent_share(ENGINES, false, 2, at(1_000)), 1_500, "half of it");
    assert_eq!(demand.urgent_share(ENGINES, false, 0, at(1_000)), 0);
    assert_eq!(demand.tokens_ahead(ENGINES, false, 2, at(1_000)), (3_000, 3_000));
    let (per_second, samples) = demand.freed(ENGINES, at(1_000));
    assert!(per_second > 20_000.0 && samples > 8.0, "{per_second}, {samples}");
    assert_eq!(demand.promised_tokens(ENGINES, at(1_000)), 2_500, "the other has come back");
    assert!((table.team_use.tokens("studio", at(1_000)) - 9_000.0).abs() < 2.0);
}

/// Pattern: a VM with urgent requests is cut off, ends or freezes. The others must not give way to
/// it for longer than two report intervals, and a second at most in a large fleet.
#[test]
fn demand_counts_only_while_it_is_fresh() {
    for (interval_ms, limit_ms) in [(300, 600), (2_000, 1_000)] {
        let mut table = AdmissionTable::default();
        let report = report_of(&mut waiting_table());
        apply_report(&report, &mut table, Duration::from_millis(interval_ms), at(1_000));

        let demand = &table.fleet_demand;
        assert!(demand.urgent_share(ENGINES, false, 2, at(1_000 + limit_ms)) > 0);
        assert_eq!(demand.urgent_share(ENGINES, false, 2, at(1_010 + limit_ms)), 0);
    }
}

/// Pattern: a VM with load on many engines and many teams. Reports beyond the size of a datagram
/// would not arrive, and the load of the engines matters most.
#[test]
fn report_that_is_too_large_leaves_out_the_least_important_first() {
    let mut table = waiting_table();
    for team in 0..8 {
        let name = format!("team-with-a-long-name-{team}");
        table.team_use.charge(&name, 50_000, at(1_000));
    }
    let full = report_of(&mut table);
    let with_loads = |count: usize| {
        let load = |index| LoadEntry {
            server: format!("engine-{index:04}"),
            tokens: 20_000,
            ..LoadEntry::default()
        };
        let report = PeerReport { loads: (0..count).map(load).collect(), ..full.clone() };
        let bytes = report.into_datagram();
        (PeerReport::decode(bytes.as_slice()).unwrap(), bytes.len())
    };

    let (few, _) = with_loads(5);
    assert_eq!((few.loads.len(), few.teams.len(), few.demand.len()), (5, 8, 1));
    let (more, length) = with_loads(65);
    assert_eq!((more.loads.len(), more.teams.len(), more.demand.len()), (65, 0, 1), "{length}");
    assert!(length <= PeerReport::DATAGRAM_BYTES, "{length}");
    let (most, _) = with_loads(72);
    assert_eq!((most.loads.len(), most.teams.len(), most.demand.len()), (72, 0, 0));
}

/// Pattern: a VM without a service with a deferrable route. Its reports must stay as they were.
#[test]
fn report_of_an_unmanaged_service_has_no_demand() {
    let mut table = AdmissionTable::default();
    table.note_freed(ENGINES, 3_500, at(0));

    let report = report_of(&mut table);

    assert!(report.demand.is_empty() && report.teams.is_empty());
}
