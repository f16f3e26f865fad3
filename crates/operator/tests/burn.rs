//! Report on service-level objectives over several VMs.

mod support;

use std::time::Duration;

use dragonflycart_burn::{
    BurnSnapshot, BurnTracker, SliEvent, SliKind, SliMeasurement, SloDefinition,
};
use dragonflycart_core::{Incarnation, OperatingPlan, PlanRevision, VmOrdinal, WallTime};
use dragonflycart_operator::{
    BurnAlert, BurnPage, BurnReportBuilder, ExitStatus,
    api::{MemberStatus, VmState},
};

use crate::support::{FakeVm, closed_address, identity, now, run_against};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

fn objective(name: &str, kind: SliKind) -> SloDefinition {
    SloDefinition {
        name: name.to_owned(),
        route: "report".parse().expect("a name"),
        team: None,
        kind,
        threshold_us: (kind == SliKind::TokenGap).then_some(72_000),
        ratio: 0.99,
        window_ms: 24 * HOUR.as_millis() as u64,
    }
}

fn ago(span: Duration) -> WallTime {
    WallTime::from_unix_millis(now().as_unix_millis() - span.as_millis() as u64)
}

/// Returns the counts of the VM with the given ordinal. An event is (time before now, team, good,
/// bad).
fn snapshot(ordinal: u16, ratio: f64, events: &[(Duration, &str, u64, u64)]) -> BurnSnapshot {
    let mut answered = objective("answered", SliKind::Answered);
    answered.ratio = ratio;
    let objectives = vec![answered, objective("gap", SliKind::TokenGap)];
    let zone = "a".parse().expect("a name");
    let incarnation = Incarnation(u128::from(ordinal));
    let mut tracker =
        BurnTracker::new(zone, VmOrdinal(ordinal), incarnation, ago(20 * HOUR), objectives);
    for (before, team, good, bad) in events {
        let event = |good: bool, count: u64| SliEvent {
            route: "report".parse().expect("a name"),
            team: team.parse().expect("a name"),
            zone: "b".parse().ok(),
            version: "v2".parse().ok(),
            measure: SliMeasurement::Answered(good),
            count,
        };
        tracker.record(ago(*before), &event(true, *good));
        tracker.record(ago(*before), &event(false, *bad));
    }
    tracker.snapshot(now())
}

/// Guards against wrong figures after merging. They were calculated by hand, with an allowed share
/// of bad events of 0.01.
///
/// Both VMs: 10 h ago 5,000 good; 3 h ago 1,980 good, 20 bad; 40 min ago 780 good, 220 bad; 3 min
/// ago 100 good, 100 bad. 5 min: 100/200. 30 min: the same. 1 h: 320/1,200. 6 h: 340/3,200.
/// Window: 340/8,200.
#[test]
fn merged_figures_match_the_hand_calculation() {
    let first = snapshot(
        0,
        0.99,
        &[
            (10 * HOUR, "yard", 5_000, 0),
            (40 * MINUTE, "yard", 700, 200),
            (3 * MINUTE, "yard", 0, 50),
        ],
    );
    let second = snapshot(
        1,
        0.99,
        &[
            (3 * HOUR, "harbour", 1_980, 20),
            (40 * MINUTE, "yard", 80, 20),
            (3 * MINUTE, "yard", 100, 50),
        ],
    );
    let mut builder = BurnReportBuilder::new();
    builder.add(&first);
    builder.add(&second);
    builder.add(&first);

    let report = builder.into_report();

    let figures = &report.objectives[0];
    assert_eq!((figures.total, figures.bad), (8_200, 340));
    let close = |found: f64, expected: f64| (found - expected).abs() < 1e-9;
    assert!(close(figures.burn_rate(5), 100.0 / 200.0 / 0.01));
    assert!(close(figures.burn_rate(30), 100.0 / 200.0 / 0.01));
    assert!(close(figures.burn_rate(60), 320.0 / 1_200.0 / 0.01));
    assert!(close(figures.burn_rate(360), 340.0 / 3_200.0 / 0.01));
    assert!(close(figures.budget_left, 1.0 - 340.0 / 8_200.0 / 0.01));
    assert_eq!(figures.alert, BurnAlert::Fast);
    let teams: Vec<_> = figures
        .worst_teams
        .iter()
        .map(|entry| (entry.name.as_str(), entry.bad, entry.total))
        .collect();
    assert_eq!(teams, [("yard", 320, 1_200), ("harbour", 20, 2_000)]);
    assert_eq!((figures.worst_zones[0].bad, figures.worst_versions[0].bad), (340, 340));
    assert!(!report.partial);
    assert_eq!(report.answered, ["a/0", "a/1"]);
}

/// Guards against alerts on a loss that has ended or is too small to matter.
#[test]
fn an_alert_needs_both_windows() {
    let alert_of = |events: &[(Duration, &str, u64, u64)]| {
        let mut builder = BurnReportBuilder::new();
        builder.add(&snapshot(0, 0.99, events));
        builder.into_report().objectives[0].alert
    };

    let ended = alert_of(&[(50 * MINUTE, "yard", 0, 500), (2 * MINUTE, "yard", 1_000, 0)]);
    let brief = alert_of(&[(50 * MINUTE, "yard", 100_000, 0), (2 * MINUTE, "yard", 50, 50)]);
    let present = alert_of(&[(50 * MINUTE, "yard", 500, 500), (2 * MINUTE, "yard", 50, 50)]);
    let steady = alert_of(&[(5 * HOUR, "yard", 900, 100), (20 * MINUTE, "yard", 900, 100)]);

    assert_eq!(ended, BurnAlert::None);
    assert_eq!(brief, BurnAlert::None, "50 times over 5 min, 0.05 times over 1 h");
    assert_eq!(present, BurnAlert::Fast, "50 times over 5 min and 1 h");
    assert_eq!(steady, BurnAlert::Slow, "10 times over 30 min and 6 h");
}

/// Guards against a report that looks complete while VMs are missing, and against counting a VM
/// twice that was queried at two addresses.
#[test]
fn missing_vms_are_named_and_the_report_is_partial() {
    let first = FakeVm::start(0, OperatingPlan::default());
    let second = FakeVm::start(1, OperatingPlan::default());
    let member = |ordinal, admin| MemberStatus {
        vm: identity(ordinal, admin),
        state: VmState::Ready,
        plan_revision: PlanRevision(5),
        heard_ms_ago: 100,
    };
    first.state().burn = Some(snapshot(0, 0.99, &[(MINUTE, "yard", 90, 10)]));
    second.state().burn = Some(snapshot(1, 0.99, &[(MINUTE, "yard", 100, 0)]));
    first.state().members =
        vec![member(1, Some(second.address)), member(2, Some(closed_address())), member(3, None)];
    let page = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("burn.html");
    let page_arg = page.to_str().expect("UTF-8");

    let json = run_against(&[first.address, second.address], &["burn", "--json"]);
    let table = run_against(&[first.address], &["burn", "--html", page_arg]);

    assert_eq!([json.status, table.status], [ExitStatus::Partial; 2], "{json:?} {table:?}");
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("one JSON value");
    assert_eq!((&value["objectives"][0]["total"], &value["partial"]), (&200.into(), &true.into()));
    assert_eq!(value["missing"], serde_json::json!(["a/2", "a/3"]));
    assert!(table.out.contains("PARTIAL: no counts from a/2, a/3"), "{table:?}");
    let page = std::fs::read_to_string(page).expect("the page was written");
    assert!(page.contains("PARTIAL: no counts from a/2, a/3"), "{page}");
}

/// Guards against a report that stays partial after a VM was replaced, because a peer still lists
/// the old process.
#[test]
fn a_replaced_process_is_not_missing() {
    let vm = FakeVm::start(0, OperatingPlan::default());
    vm.state().burn = Some(snapshot(0, 0.99, &[(MINUTE, "yard", 90, 10)]));
    let mut before = identity(0, None);
    before.incarnation = "ff".to_owned();
    let member = MemberStatus {
        vm: before,
        state: VmState::Unresponsive,
        plan_revision: PlanRevision(5),
        heard_ms_ago: 60_000,
    };
    vm.state().members = vec![member];

    let result = vm.run(&["burn"]);

    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
}

/// Guards against adding counts of different definitions without reporting it.
#[test]
fn differing_definitions_make_the_report_partial() {
    let mut builder = BurnReportBuilder::new();
    builder.add(&snapshot(0, 0.99, &[(MINUTE, "yard", 90, 10)]));
    builder.add(&snapshot(1, 0.95, &[(MINUTE, "yard", 0, 100)]));

    let report = builder.into_report();

    assert!(report.partial);
    assert_eq!(report.differing, ["answered on a/1"]);
    assert_eq!(report.objectives[0].total, 100);
}

/// Guards against a page that refers to other files or does not escape names.
#[test]
fn the_page_is_self_contained() {
    let mut snapshot = snapshot(0, 0.99, &[(9 * MINUTE, "yard", 9, 1), (MINUTE, "yard", 1, 0)]);
    snapshot.objectives[0].objective.name = "<b>&".to_owned();
    let mut builder = BurnReportBuilder::new();
    builder.add(&snapshot);

    let page = BurnPage::new(&builder.into_report()).render();

    assert!(page.contains("&lt;b&gt;&amp;") && !page.contains("<b>"), "{page}");
    assert_eq!(page.matches("<svg").count(), 2);
    for reference in ["http:", "https:", "src=", "href=", "<script", "@import"] {
        assert!(!page.contains(reference), "{reference}");
    }
}
