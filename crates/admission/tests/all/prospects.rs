//! Repeated estimates of waiting requests. Each test describes its load pattern.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_admission::{
    AdmissionTable, EstimateInputs, RankDemand, ServiceDemand, WaitEstimate, WaitProspect, Waiter,
    WaiterId,
};

use crate::fixtures::{ENGINES, LONG_TOKENS, at, long};

const INTERVAL: Duration = Duration::from_millis(300);

/// Returns the demand of a VM whose requests are on time, by rank.
fn demand_of(rank: u8, waiting: u32) -> BTreeMap<String, ServiceDemand> {
    let tokens = u64::from(waiting) * LONG_TOKENS;
    let demand = RankDemand { waiting, tokens, timely_tokens: tokens };
    let ranks = BTreeMap::from([(rank, demand)]);
    BTreeMap::from([(ENGINES.to_owned(), ServiceDemand { ranks, ..ServiceDemand::default() })])
}

/// Lets 10,000 tokens become free per second.
fn free_memory(table: &mut AdmissionTable, from_ms: u64, to_ms: u64) {
    for millis in (from_ms..to_ms).step_by(100) {
        table.note_freed(ENGINES, 1_000, at(millis));
    }
}

/// Returns a VM whose request arrives at 5 s behind `ahead` equal ones.
fn waiting_table(ahead: usize) -> (AdmissionTable, WaiterId) {
    let mut table = AdmissionTable::default();
    free_memory(&mut table, 0, 5_000);
    for _ in 0..ahead {
        table.enqueue(long("a", at(4_900)), at(4_900));
    }
    let id = table.enqueue(long("a", at(5_000)), at(5_000));
    (table, id)
}

fn inputs_at(
    table: &mut AdmissionTable,
    id: WaiterId,
    prospect: &mut WaitProspect,
    millis: u64,
) -> EstimateInputs {
    let late_in = Duration::from_millis(9_000_u64.saturating_sub(millis));
    table.review_inputs(id, (ENGINES, LONG_TOKENS), late_in, prospect, at(millis))
}

/// Pattern: a burst of urgent requests begins while a long one waits.
/// Guards against a request that is kept until its caller gives up although it is known earlier
/// that it can't begin in time.
#[test]
fn request_is_expected_to_wait_for_longer_when_urgent_demand_grows() {
    let (mut table, id) = waiting_table(5);
    let mut prospect = WaitProspect::default();
    let before = WaitEstimate::from_inputs(inputs_at(&mut table, id, &mut prospect, 5_000));
    free_memory(&mut table, 5_000, 7_000);

    table.fleet_demand.note_report(2, demand_of(0, 100), INTERVAL, at(7_000));

    let after = WaitEstimate::from_inputs(inputs_at(&mut table, id, &mut prospect, 7_000));
    assert!(!before.exceeds(Duration::from_secs(15)), "{before:?}");
    assert!(after.exceeds(Duration::from_secs(13)), "{after:?}");
}

/// Pattern: a lasting overload. Behind a request that waits, as many arrive as are served before
/// it.
/// Guards against the refusal of a request because of others that go behind it.
#[test]
fn requests_that_arrive_later_do_not_lengthen_the_wait() {
    let (mut table, id) = waiting_table(5);
    table.fleet_demand.note_report(2, demand_of(2, 10), INTERVAL, at(5_000));
    let mut prospect = WaitProspect::default();
    let before = WaitEstimate::from_inputs(inputs_at(&mut table, id, &mut prospect, 5_000));
    free_memory(&mut table, 5_000, 6_000);
    for _ in 0..50 {
        table.enqueue(long("a", at(5_900)), at(5_900));
    }

    table.fleet_demand.note_report(2, demand_of(2, 200), INTERVAL, at(5_900));

    let after = WaitEstimate::from_inputs(inputs_at(&mut table, id, &mut prospect, 6_000));
    let (before_ms, after_ms) = (before.wait.as_millis(), after.wait.as_millis());
    assert!(after_ms + 800 < before_ms, "{after_ms} ms after {before_ms} ms");
    let newer_ms = (50 + 190) * LONG_TOKENS / 10;
    assert!(after.retry_after.as_millis() as u64 > newer_ms, "it would come back behind them");
}

/// Pattern: the same, and the request becomes late: it goes behind all that can still be on time.
/// Guards against an estimate that holds on to a place that the request has lost, and against one
/// that counts requests as ahead for longer than they are on time (4 s, 40,000 tokens).
#[test]
fn late_request_waits_for_those_that_can_be_on_time_until_they_are_late() {
    let (mut table, id) = waiting_table(0);
    let mut prospect = WaitProspect::default();
    inputs_at(&mut table, id, &mut prospect, 5_000);
    free_memory(&mut table, 5_000, 9_100);
    for _ in 0..30 {
        table.enqueue(long("a", at(9_000)), at(9_000));
    }

    let timely = inputs_at(&mut table, id, &mut prospect, 8_990);
    let late = inputs_at(&mut table, id, &mut prospect, 9_010);

    assert_eq!(timely.ahead_tokens, 0);
    assert!((30_000..50_000).contains(&late.ahead_tokens), "{}", late.ahead_tokens);
}

/// Pattern: a request is the first over the fleet, and generations end now and then.
/// Guards against an estimate that stays the same while the memory for the request gathers, and
/// that refuses it just before it would begin.
#[test]
fn first_request_lacks_less_as_memory_becomes_free() {
    let (mut table, id) = waiting_table(0);
    let mut prospect = WaitProspect::default();

    let first = inputs_at(&mut table, id, &mut prospect, 5_000);
    free_memory(&mut table, 5_000, 5_200);
    let later = inputs_at(&mut table, id, &mut prospect, 5_200);
    free_memory(&mut table, 5_200, 5_600);
    let last = inputs_at(&mut table, id, &mut prospect, 5_600);

    assert_eq!(first.own_tokens, LONG_TOKENS);
    assert!((1_000..2_000).contains(&later.own_tokens), "{}", later.own_tokens);
    assert_eq!(last.own_tokens, 0);
}

/// Pattern: hundreds of requests wait at a small VM.
/// Guards against estimates that use up the processor time of the VM, and against estimates so late
/// that a refusal would gain the caller no time.
#[test]
fn rate_of_estimates_is_bounded() {
    let left = Duration::from_secs(5);
    for (waiting, interval_ms) in [(1, 500), (50, 500), (180, 1_800), (10_000, 100_000)] {
        let mut prospect = WaitProspect::default();
        assert!(prospect.is_due(left, at(0)));

        prospect.note_estimate(waiting, at(0));

        assert!(!prospect.is_due(left, at(interval_ms - 1)), "{waiting}");
        assert!(prospect.is_due(left, at(interval_ms)), "{waiting}");
        assert!(!prospect.is_due(Duration::from_millis(500), at(interval_ms)), "{waiting}");
    }
    WaitProspect::default().note_estimate(usize::MAX, at(0));
}

/// Pattern: no generation ended for some time, so that nothing is known about the rate.
/// Guards against a refusal of a waiting request because of a doubtful estimate.
#[test]
fn doubtful_estimate_keeps_a_waiting_request() {
    let (mut table, id) = waiting_table(100);
    let mut prospect = WaitProspect::default();
    inputs_at(&mut table, id, &mut prospect, 5_000);

    let estimate = WaitEstimate::from_inputs(inputs_at(&mut table, id, &mut prospect, 25_000));

    assert!(estimate.is_doubtful);
    assert!(!estimate.exceeds(Duration::ZERO));
}

/// Pattern: a request of a team with little use waits behind one that has waited for half of its
/// maximum wait.
/// Guards against an estimate that counts the aged requests as behind.
#[test]
fn requests_that_waited_for_long_are_ahead_whatever_the_team() {
    let mut table = AdmissionTable::default();
    table.team_use.charge("large", 200_000, at(0));
    table.team_use.charge("small", 1_000, at(0));
    let aged_at = at(500);
    for _ in 0..10 {
        table.enqueue(Waiter { aged_at, ..long("large", at(0)) }, at(0));
    }

    let id = table.enqueue(long("small", at(1_000)), at(1_000));

    let waiter = (ENGINES, LONG_TOKENS);
    let inputs = table.estimate_inputs(id, waiter, Duration::MAX, 0, at(1_000));
    assert_eq!(inputs.ahead_tokens, 10 * LONG_TOKENS);
}
