//! Cost per unit of the control state of one node at several sizes, for `docs/CAPACITY.md`: memory,
//! processor time and message sizes.
//!
//! The measured types are those of the daemon. The program feeds them directly and runs no cluster.
//! Memory is measured as the growth of resident memory. Since the allocator would hide growth by
//! reusing freed memory, each value takes a process of its own: `capacity memory PART SIZE`, where
//! PART is `member`, `server` or `key`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dragonflycart_core::{
    Incarnation, LogOffset, ModelName, ModelPlacement, MonoTime, MoveId, OperatingPlan,
    PlanRevision, RouteName, ServerInstance, ServerName, TeamName, VersionMove, VersionName,
    VmOrdinal, WallTime, ZoneName, ZonePlan, ZoneState,
};
use dragonflycart_policy::{
    MoveCounts, MoveEvidence, PlacementRequest, PolicySettings, PriorityClass, RequestScheduler,
    ServerKey, ServerPool, ServerReport, ServerSpec, VersionRole, VmPosition,
};
use dragonflycart_state::{
    CallKey, CallLedger, ClaimId, ClaimRecord, LedgerLimits, MemberTable, OutcomeRecord,
    incarnation_to_wire,
};
use dragonflycart_wire::{
    Evidence, EvidenceCounter, GossipUpdate, Heartbeat, Hello, LogEntry, MoveStateUpdate,
    RecordBatch, log_entry::Kind,
};
use prost::Message;

/// Repetitions of each measurement. The median, lowest and highest are printed.
const REPEATS: usize = 5;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Number of models at the design size.
const MODELS: usize = 31;
/// Number of zones at the design size.
const ZONES: usize = 7;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [kind, part, size] = arguments.as_slice()
        && kind == "memory"
        && let Ok(size) = size.parse()
    {
        measure_memory(part, size);
        return;
    }
    println!("part                  size   per unit                          spread");
    measure_messages();
    measure_heartbeats();
    measure_scheduler();
    measure_ledger();
    measure_evidence();
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Runs `work` several times and prints the time per unit.
fn time_per_unit(part: &str, size: usize, units: usize, mut work: impl FnMut()) {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let start = Instant::now();
        work();
        times.push(start.elapsed().as_nanos() as f64 / units as f64 / 1_000.0);
    }
    times.sort_by(f64::total_cmp);
    let median = times[REPEATS / 2];
    let (low, high) = (times[0], times[REPEATS - 1]);
    println!("{part:<20} {size:>6}   {median:>10.3} us          {low:>8.3} to {high:.3} us");
}

/// Builds copies of a value until they are large enough and prints the memory per unit.
fn memory_per_unit<T>(part: &str, size: usize, copies: usize, build: impl Fn() -> T) {
    let before = resident_bytes();
    let mut values = Vec::with_capacity(copies);
    for _ in 0..copies {
        values.push(build());
    }
    let growth = resident_bytes().saturating_sub(before);
    black_box(&values);
    let each = growth as f64 / (size * copies) as f64;
    println!("{part:<20} {size:>6}   {each:>10.0} bytes");
}

fn print_size(part: &str, bytes: usize) {
    println!("{part:<20} {:>6}   {bytes:>10} bytes", "-");
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

fn hello(number: u128) -> Hello {
    Hello {
        incarnation: Bytes::copy_from_slice(&number.to_be_bytes()),
        ordinal: (number % 64) as u32,
        zone: format!("zone-{}", number as usize % ZONES),
        address: format!("10.0.{}.{}:8081", number / 250, number % 250),
        protocol: 1,
    }
}

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat { plan_revision: 100_000, draining: false, log_reachable: true, sequence }
}

fn design_plan() -> OperatingPlan {
    let mut plan = OperatingPlan::default();
    for zone in 0..ZONES {
        let zone: ZoneName = name(&format!("zone-{zone}"));
        plan.zones
            .insert(zone.clone(), ZonePlan { state: ZoneState::In, concurrency_limit: 10_000 });
        for model in 0..MODELS {
            for version in ["2026.11", "2026.12"] {
                plan.placements.push(ModelPlacement {
                    zone: zone.clone(),
                    model: name(&format!("model-{model}")),
                    version: name(version),
                });
            }
        }
    }
    for model in 0..MODELS {
        let planned = VersionMove {
            model: name(&format!("model-{model}")),
            from: name("2026.11"),
            to: name("2026.12"),
            start: WallTime::from_unix_millis(1_796_400_000_000),
            deadline: WallTime::from_unix_millis(1_796_436_000_000),
        };
        plan.moves.insert(MoveId(format!("model-{model}-december")), planned);
    }
    plan
}

fn measure_memory(part: &str, size: usize) {
    match part {
        "member" => memory_per_unit(part, size, 40_000 / size, || build_members(size)),
        "server" => memory_per_unit(part, size, 12_000 / size, || build_scheduler(size)),
        "key" => {
            let batches: Vec<RecordBatch> = (0..size as u64).map(claim_batch).collect();
            memory_per_unit(part, size, 1, || fill_ledger(&batches));
        }
        _ => eprintln!("unknown part {part}: expected member, server or key"),
    }
}

fn build_members(size: usize) -> MemberTable {
    let ordinal = VmOrdinal(0);
    let mut table = MemberTable::new(Incarnation(1), "zone-0", ordinal, MonoTime::default());
    for number in 0..size {
        table.hello(&hello(number as u128 + 2), MonoTime::from_millis(1));
    }
    table
}

fn measure_messages() {
    print_size("heartbeat", heartbeat(1_000_000).encoded_len());
    print_size("hello", hello(400).encoded_len());
    let counter = EvidenceCounter {
        model: "model-12".to_owned(),
        version: "2026.12".to_owned(),
        route: "report".to_owned(),
        finished: 120,
        failed: 1,
        slow: 3,
        bucket_s: 1_796_400_000,
    };
    let one = Evidence { incarnation: Bytes::from_static(&[1; 16]), counters: vec![counter] };
    print_size("evidence counter", one.encoded_len() - 18);
    let move_state = MoveStateUpdate {
        move_id: "model-12-december".to_owned(),
        state: 1,
        reason: "proven good: 4000 requests".to_owned(),
        set_at_revision: 100_000,
    };
    let gossip = GossipUpdate { moves: vec![move_state; MODELS], zones: Vec::new() };
    print_size("gossip, 31 moves", gossip.encoded_len());
    print_size("plan, design size", serde_json::to_vec(&design_plan()).unwrap_or_default().len());
    let claim = claim_batch(7);
    print_size("call claim append", claim.encoded_len());
}

fn measure_heartbeats() {
    for size in [9, 100, 420] {
        let mut table = build_members(size);
        let mut now = MonoTime::from_millis(1_000);
        time_per_unit("member, heartbeat", size, size * 100, || {
            for round in 0..100 {
                now = now + Duration::from_millis(1_000);
                for number in 0..size {
                    table.heartbeat(Incarnation(number as u128 + 2), &heartbeat(round), now);
                }
                table.refresh(now);
            }
        });
    }
}

fn server_report(now: MonoTime, model: usize) -> ServerReport {
    ServerReport {
        taken_at: now,
        instance: ServerInstance(1),
        cold: false,
        concurrency_limit: 64,
        leaving: false,
        running: 20,
        waiting: 0,
        memory_used_tokens: 100_000,
        memory_total_tokens: 400_000,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        loaded: vec![(name(&format!("model-{}", model % MODELS)), name("2026.11"))],
    }
}

fn build_scheduler(servers: usize) -> (RequestScheduler, Vec<ServerKey>) {
    let zone: ZoneName = name("zone-0");
    let position =
        VmPosition { zone: zone.clone(), ordinal: VmOrdinal(0), incarnation: Incarnation(1) };
    let mut settings = PolicySettings::default();
    settings.ordinal_counts.insert(zone.clone(), 60);
    let start = MonoTime::from_millis(1_000);
    let mut scheduler =
        RequestScheduler::new(settings, position, start).expect("the policy is registered");
    scheduler.set_zone(start, &zone, true, 1_000_000);
    let mut keys = Vec::new();
    for number in 0..servers {
        keys.push(scheduler.insert_server(ServerSpec {
            name: name::<ServerName>(&format!("engine-{number}")),
            zone: zone.clone(),
            service: None,
        }));
    }
    for (number, key) in keys.iter().enumerate() {
        scheduler.report(start, *key, server_report(start, number));
    }
    (scheduler, keys)
}

fn measure_scheduler() {
    for size in [16, 100, 600] {
        let (mut scheduler, keys) = build_scheduler(size);
        let mut now = MonoTime::from_millis(1_000);
        time_per_unit("server, report", size, size * 20, || {
            for _ in 0..20 {
                now = now + Duration::from_millis(500);
                for (number, key) in keys.iter().enumerate() {
                    scheduler.report(now, *key, server_report(now, number));
                }
            }
        });
        time_per_unit("idle tick", size, 1_000, || {
            for _ in 0..1_000 {
                now = now + Duration::from_millis(5);
                black_box(scheduler.tick(now));
            }
        });
        time_per_unit("request, whole life", size, 1_000, || {
            for number in 0..1_000 {
                now = now + Duration::from_millis(1);
                let ticket = scheduler.submit(now, request(number));
                black_box(scheduler.tick(now));
                scheduler.finished(now, ticket, 20);
            }
        });
    }
}

fn request(number: usize) -> PlacementRequest {
    PlacementRequest {
        pool: ServerPool::Generation(name(&format!("model-{}", number % MODELS)), name("2026.11")),
        team: name::<TeamName>(&format!("team-{}", number % 200)),
        route: name::<RouteName>("report"),
        class: PriorityClass::Interactive,
        prompt_tokens: 200,
        max_tokens: 400,
        delivered_tokens: 0,
        deadline: None,
        idempotent: true,
        prefix: None,
    }
}

fn claim_batch(number: u64) -> RecordBatch {
    let key = CallKey::new("team-100", &format!("order-2026-{number:08}"));
    let claim = ClaimRecord {
        claim_id: ClaimId(u128::from(number) + 1),
        owner: Incarnation(7),
        attempt: 1,
        made_at: WallTime::from_unix_millis(1_796_400_000_000),
        request_digest: Bytes::from_static(&[7; 32]),
    };
    let outcome = OutcomeRecord {
        claim_id: claim.claim_id,
        status: 200,
        body: Bytes::from_static(&[b'x'; 120]),
        made_at: claim.made_at,
    };
    let entries = vec![
        LogEntry { kind: Some(Kind::CallClaim(claim.to_wire(&key, None))) },
        LogEntry { kind: Some(Kind::CallOutcome(outcome.to_wire(&key))) },
    ];
    RecordBatch {
        writer: incarnation_to_wire(Incarnation(7)),
        sequence: number + 1,
        written_at_ms: 1_796_400_000_000,
        entries,
    }
}

fn fill_ledger(batches: &[RecordBatch]) -> CallLedger {
    let now = WallTime::from_unix_millis(1_796_400_000_000);
    let mut ledger = CallLedger::new(LedgerLimits::default(), LogOffset(0), LogOffset(0), now);
    for (offset, batch) in batches.iter().enumerate() {
        ledger.apply_batch(LogOffset(offset as u64), batch, now);
    }
    ledger
}

fn measure_ledger() {
    for size in [1_000, 10_000, 100_000] {
        let batches: Vec<RecordBatch> = (0..size as u64).map(claim_batch).collect();
        time_per_unit("call key, fold", size, size, || {
            black_box(fill_ledger(&batches));
        });
    }
}

fn measure_evidence() {
    let route: RouteName = name("report");
    let model: ModelName = name("model-1");
    let version: VersionName = name("2026.12");
    black_box((&model, &version, PlanRevision(1)));
    for size in [9, 100, 420] {
        let mut evidence = MoveEvidence::default();
        let mut bucket_s = 0;
        time_per_unit("evidence, merge", size, size * 60, || {
            for _ in 0..60 {
                bucket_s += 1;
                for number in 0..size {
                    let counts = MoveCounts { finished: 3, failed: 0, slow: 0 };
                    let from = Incarnation(number as u128);
                    evidence.merge(from, bucket_s, (&route, VersionRole::New), counts);
                }
            }
            black_box(evidence.take_changed(bucket_s));
        });
    }
}
