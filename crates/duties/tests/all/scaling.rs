//! Numbers of servers under patterns of demand.

use std::time::Duration;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{ScaleBounds, ScaleControl, ScaleOrder, ZoneDemand};

/// Limits of the tests.
const BOUNDS: ScaleBounds = ScaleBounds { min: 4, max: 20, boot_time: Duration::from_secs(4) };
/// Interval of decisions, in milliseconds.
const STEP_MS: u64 = 500;

/// Returns a demand that fills `fill` of 1,000 tokens per server on `servers` servers.
fn demand(servers: u32, used: u64, waiting: u32) -> ZoneDemand {
    ZoneDemand { servers, server_capacity: 1_000, used, running: 10, waiting }
}

/// Runs the control over a demand per step, with every order accepted, and returns the orders.
fn run(control: &mut ScaleControl, demands: impl Iterator<Item = ZoneDemand>) -> Vec<(u64, u32)> {
    let mut orders = Vec::new();
    for (step, demand) in demands.enumerate() {
        let ms = 100_000 + step as u64 * STEP_MS;
        let now = MonoTime::from_millis(ms);
        let Some(desired) = control.decide("s", "a", BOUNDS, demand, now) else { continue };
        let (service, zone) = ("s".to_owned(), "a".to_owned());
        control.note_ordered(&ScaleOrder { service, zone, desired });
        orders.push((ms - 100_000, desired));
    }
    orders
}

/// Guards against orders that change nothing: they cost calls.
#[test]
fn steady_demand_leads_to_no_order() {
    let orders = run(&mut ScaleControl::default(), (0..200).map(|_| demand(10, 6_000, 0)));

    assert_eq!(orders, []);
}

/// Load pattern: a zone's demand rises by half within some seconds. Guards against servers that are
/// ordered only after the existing ones are full.
#[test]
fn rising_demand_leads_to_an_order_ahead_of_the_peak() {
    let used = |step: u64| 5_000 + step.saturating_sub(20).min(20) * 150;

    let orders = run(&mut ScaleControl::default(), (0..60).map(|step| demand(10, used(step), 0)));

    let (first_ms, _) = orders[0];
    assert!(used(first_ms / STEP_MS) < 7_000, "first order at {first_ms} ms");
    assert!(orders.last().is_some_and(|(_, desired)| *desired >= 12), "{orders:?}");
}

/// Load pattern: requests wait although the memory in use is below the limit, because they are
/// large. Guards against a number that considers running requests only.
#[test]
fn waiting_requests_raise_the_number() {
    let orders = run(&mut ScaleControl::default(), (0..20).map(|_| demand(10, 6_500, 6)));

    assert!(orders.first().is_some_and(|(_, desired)| *desired > 10), "{orders:?}");
}

/// Load pattern: demand ends. Guards against servers that are given up at once, and come too late
/// for the next burst, and against servers that are never given up.
#[test]
fn low_use_lowers_the_number_one_by_one() {
    let orders = run(&mut ScaleControl::default(), (0..150).map(|_| demand(10, 1_000, 0)));

    let numbers: Vec<u32> = orders.iter().map(|(_, desired)| *desired).collect();
    assert_eq!(numbers, [10, 9, 8, 7, 6, 5, 4]);
    assert!(orders[0].0 >= 13_000, "first order at {} ms", orders[0].0);
}

/// Load pattern: bursts of 3 s every 10 s. Guards against a number that follows each pause.
#[test]
fn pauses_between_bursts_do_not_lower_the_number() {
    let used = |step: u64| if step % 20 < 6 { 6_500 } else { 3_000 };

    let orders = run(&mut ScaleControl::default(), (0..200).map(|step| demand(10, used(step), 0)));

    assert!(orders.iter().all(|(_, desired)| *desired >= 10), "{orders:?}");
}

/// Guards against a first order below what was there at the start, while a sixth of the servers is
/// being replaced.
#[test]
fn first_order_does_not_lower_what_is_there() {
    let servers = |step: u64| if (4..18).contains(&step) { 10 } else { 12 };

    let orders =
        run(&mut ScaleControl::default(), (0..22).map(|step| demand(servers(step), 7_300, 4)));

    assert!(orders.iter().all(|(_, desired)| *desired > 12), "{orders:?}");
}

/// Guards against orders outside the limits of the service.
#[test]
fn orders_stay_within_the_limits() {
    let peak = run(&mut ScaleControl::default(), (0..40).map(|_| demand(10, 10_000, 100)));
    let few = run(&mut ScaleControl::default(), (0..40).map(|_| demand(2, 100, 0)));

    assert_eq!(peak.last().map(|(_, desired)| *desired), Some(20));
    assert_eq!(few.iter().map(|(_, desired)| *desired).collect::<Vec<_>>(), [4]);
}

/// Guards against a new holder that takes the servers that are still booting for superfluous.
#[test]
fn new_holder_continues_from_the_last_order() {
    let order = ScaleOrder { service: "s".to_owned(), zone: "a".to_owned(), desired: 15 };

    let orders = run(&mut ScaleControl::new(&[order]), (0..20).map(|_| demand(10, 9_000, 0)));

    assert!(orders.iter().all(|(_, desired)| *desired > 15), "{orders:?}");
}

/// Guards against orders that rest on figures from a time at which the zone was cut off.
#[test]
fn closed_zone_is_observed_anew() {
    let mut control = ScaleControl::default();
    run(&mut control, (0..40).map(|_| demand(10, 6_000, 0)));

    control.note_closed("s", "a");
    let now = MonoTime::from_millis(130_000);
    let order = control.decide("s", "a", BOUNDS, demand(10, 9_900, 50), now);

    assert_eq!(order, None);
}

/// Guards against servers that are removed after a time in which the holder could not act: it does
/// not know whether use was low.
#[test]
fn gap_between_decisions_does_not_count_as_low_use() {
    let mut control = ScaleControl::default();
    let low = || (0..20).map(|_| demand(10, 3_000, 0));
    run(&mut control, low());

    let now = MonoTime::from_millis(200_000);
    let order = control.decide("s", "a", BOUNDS, demand(10, 3_000, 0), now);

    assert_eq!(order, None);
}

/// Guards against servers that stay, or are missing, because an order without an answer took effect
/// and is not followed by another one.
#[test]
fn unanswered_order_is_repeated_until_it_is_answered() {
    let mut control = ScaleControl::default();
    run(&mut control, (0..20).map(|_| demand(10, 6_000, 0)));
    let order = ScaleOrder { service: "s".to_owned(), zone: "a".to_owned(), desired: 12 };
    control.note_unanswered(&order);

    let orders = |control: &mut ScaleControl, ms: u64| {
        control.decide("s", "a", BOUNDS, demand(10, 6_000, 0), MonoTime::from_millis(ms))
    };
    let repeated = orders(&mut control, 110_000);
    control.note_ordered(&order);
    let answered = orders(&mut control, 110_500);

    assert_eq!(repeated, Some(12));
    assert_eq!(answered, None);
}
