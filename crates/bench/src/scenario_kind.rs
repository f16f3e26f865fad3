//! Scenarios of the simulation by name.

use dragonflycart_policy::{PolicySettings, PriorityClass};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{EngineProfile, FaultKind, RouteProfile, ScenarioSpec};

/// Time at which faults happen, in milliseconds.
const FAULT_AT: f64 = 60_000.0;

/// Scenario of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ScenarioKind {
    /// Muscat by day, at 0.7 times capacity.
    MuscatDay,
    /// Zemgale at night: drafts at capacity.
    ZemgaleNight,
    /// Muscat on Friday afternoon: the load rises to 1.6 times capacity and falls again.
    FridayAfternoon,
    /// Long reports at night together with short classifications.
    OvernightReports,
    /// Heavy-tailed output lengths that double without notice.
    LengthShift,
    /// 0.7 times capacity.
    Capacity07,
    /// Capacity.
    Capacity10,
    /// 1.2 times capacity.
    Capacity12,
    /// Twice the capacity.
    Capacity20,
    /// A zone is taken out of service and put back.
    ZoneReturn,
    /// Half of the engines restart at once.
    HalfCold,
    /// Engines become cold without a restart.
    UnannouncedCold,
    /// Long outputs after short prompts fill the memory.
    MemoryFilling,
    /// The load reports of two engines freeze.
    FrozenReport,
    /// Requests that make engines fail.
    KillerRequest,
    /// A third of the engines fails at once, at 0.9 times capacity.
    ThirdFailing,
    /// One team sends nearly all requests, at twice the capacity.
    TeamFlood,
}

fn route(
    name: &'static str,
    class: PriorityClass,
    share: f64,
    mean_prompt: f64,
    lengths: (f64, f64, u32),
    time_to_deadline: f64,
) -> RouteProfile {
    let (median_output, output_sigma, max_output) = lengths;
    RouteProfile {
        name,
        class,
        share,
        mean_prompt,
        median_output,
        output_sigma,
        max_output,
        time_to_deadline,
    }
}

fn muscat_routes(reports: f64) -> Vec<RouteProfile> {
    let rest = 1.0 - reports;
    let classify = PriorityClass::Interactive;
    vec![
        route("classify", classify, rest * 0.6, 300.0, (24.0, 0.4, 128), 10_000.0),
        route("assist", classify, rest * 0.4, 500.0, (120.0, 0.6, 1_000), 30_000.0),
        route("report", PriorityClass::Batch, reports, 800.0, (600.0, 0.6, 3_000), 240_000.0),
    ]
}

fn zemgale_routes() -> Vec<RouteProfile> {
    let standard = PriorityClass::Standard;
    vec![
        route("stock", PriorityClass::Interactive, 0.3, 200.0, (40.0, 0.5, 200), 10_000.0),
        route("cutting", standard, 0.3, 400.0, (150.0, 0.6, 1_000), 45_000.0),
        route("draft", standard, 0.4, 600.0, (350.0, 0.8, 2_000), 90_000.0),
    ]
}

fn muscat(reports: f64, load: f64) -> ScenarioSpec {
    spec(4, 1.5, muscat_routes(reports), PolicySettings::latency_first(), load)
}

fn zemgale(load: f64) -> ScenarioSpec {
    spec(3, 0.5, zemgale_routes(), PolicySettings::throughput_first(), load)
}

fn spec(
    zones: usize,
    latency: f64,
    routes: Vec<RouteProfile>,
    settings: PolicySettings,
    load: f64,
) -> ScenarioSpec {
    let mut team_shares = vec![0.3, 0.2];
    team_shares.extend([0.0625; 8]);
    ScenarioSpec {
        engine: EngineProfile::default(),
        engines: 12,
        zones,
        vms: 8,
        latency,
        team_shares,
        routes,
        settings,
        load: vec![(0.0, load)],
        length_scale: Vec::new(),
        faults: Vec::new(),
        duration: 300_000.0,
        drain: 30_000.0,
    }
}

fn at_fault_time(faults: impl IntoIterator<Item = FaultKind>) -> Vec<(f64, FaultKind)> {
    faults.into_iter().map(|fault| (FAULT_AT, fault)).collect()
}

impl ScenarioKind {
    /// Returns the parameters of the scenario.
    pub fn spec(self) -> ScenarioSpec {
        match self {
            ScenarioKind::MuscatDay => muscat(0.02, 0.7),
            ScenarioKind::ZemgaleNight | ScenarioKind::Capacity10 => zemgale(1.0),
            ScenarioKind::FridayAfternoon => ScenarioSpec {
                load: vec![(0.0, 0.5), (60_000.0, 1.6), (200_000.0, 0.5)],
                ..muscat(0.02, 1.0)
            },
            ScenarioKind::OvernightReports => muscat(0.4, 1.0),
            ScenarioKind::LengthShift => ScenarioSpec {
                length_scale: vec![(0.0, 1.0), (100_000.0, 2.0)],
                ..heavy_tail(zemgale(0.6))
            },
            ScenarioKind::Capacity07 => zemgale(0.7),
            ScenarioKind::Capacity12 => zemgale(1.2),
            ScenarioKind::Capacity20 => zemgale(2.0),
            ScenarioKind::ZoneReturn => ScenarioSpec {
                faults: vec![
                    (FAULT_AT, FaultKind::ZoneOut(0)),
                    (FAULT_AT + 60_000.0, FaultKind::ZoneIn(0)),
                ],
                ..muscat(0.1, 0.7)
            },
            ScenarioKind::HalfCold => {
                ScenarioSpec { faults: at_fault_time((0..6).map(FaultKind::Fail)), ..zemgale(0.8) }
            }
            ScenarioKind::UnannouncedCold => ScenarioSpec {
                faults: vec![
                    (FAULT_AT, FaultKind::TurnCold(0)),
                    (FAULT_AT + 20_000.0, FaultKind::TurnCold(4)),
                    (FAULT_AT + 40_000.0, FaultKind::TurnCold(8)),
                ],
                ..muscat(0.1, 0.8)
            },
            ScenarioKind::MemoryFilling => memory_filling(),
            ScenarioKind::FrozenReport => ScenarioSpec {
                faults: at_fault_time([FaultKind::Freeze(1), FaultKind::Freeze(5)]),
                ..zemgale(0.9)
            },
            ScenarioKind::KillerRequest => ScenarioSpec {
                faults: vec![
                    (FAULT_AT, FaultKind::Poison),
                    (FAULT_AT + 40_000.0, FaultKind::Poison),
                ],
                ..zemgale(0.7)
            },
            ScenarioKind::ThirdFailing => ScenarioSpec {
                faults: at_fault_time((0..4).map(|engine| FaultKind::Fail(engine * 3))),
                ..zemgale(0.9)
            },
            ScenarioKind::TeamFlood => flood(),
        }
    }
}

fn heavy_tail(mut spec: ScenarioSpec) -> ScenarioSpec {
    for route in &mut spec.routes {
        route.output_sigma = 1.1;
        route.max_output = 3_000;
    }
    spec
}

fn memory_filling() -> ScenarioSpec {
    let mut spec = zemgale(1.0);
    spec.engine.memory_tokens = 25_000;
    spec.routes =
        vec![route("draft", PriorityClass::Standard, 1.0, 100.0, (450.0, 0.9, 2_000), 90_000.0)];
    spec
}

fn flood() -> ScenarioSpec {
    let mut spec = zemgale(2.0);
    // The nine small teams together ask for 0.36 times capacity.
    spec.team_shares = vec![0.82];
    spec.team_shares.extend([0.02; 9]);
    spec
}
