//! Counting of requests by window and team.

use std::time::Duration;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    CountCopies, MESSAGE_BYTES, ReportContent, TrueClock, UsageCounter, UsageNews, UsageWindows,
    WindowTerms,
};
use prost::Message;

/// Terms of the tests: windows of five seconds, due after ten.
const TERMS: WindowTerms =
    WindowTerms { window: Duration::from_secs(5), due: Duration::from_secs(10) };
/// Unix time at which the clock of the holder shows zero, in milliseconds.
const EPOCH_MS: u64 = 1_000_000_000;
/// Window that contains that time.
const FIRST: u64 = EPOCH_MS / 5_000;

fn boot(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn frame(vm: u64, ms: u64) -> UsageNews {
    UsageNews { boot: vm, unix_ms: EPOCH_MS + ms, zone: "a".to_owned(), ..UsageNews::default() }
}

fn counts(report: &ReportContent) -> Vec<(&str, u64)> {
    report.counts.iter().map(|count| (count.team.as_str(), count.count)).collect()
}

/// Delivers the messages of a VM to the holder, and the receipts back.
fn exchange(counter: &mut UsageCounter, windows: &mut UsageWindows, vm: u64, ms: u64) {
    let current = TERMS.window_at(EPOCH_MS + ms);
    for news in counter.messages(current, &frame(vm, ms)) {
        windows.note_news(&news, boot(ms));
        counter.note_receipt(news.number, news.sequence);
    }
}

/// Guards against counts that are added twice when a message or its receipt is lost or repeated.
#[test]
fn repeated_and_reordered_messages_count_once() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);

    counter.note_start("blue", FIRST);
    let first = counter.messages(FIRST, &frame(7, 100));
    counter.note_start("blue", FIRST);
    let second = counter.messages(FIRST, &frame(7, 200));
    for news in second.iter().chain(&first).chain(&second).chain(&first) {
        windows.note_news(news, boot(300));
    }
    exchange(&mut counter, &mut windows, 7, 6_000);

    let (reports, decided) = windows.decide(FIRST - 1, 8, EPOCH_MS + 6_600, boot(6_600));
    assert_eq!(counts(&reports[0]), [("blue", 2)]);
    assert_eq!(decided, FIRST);
}

/// Guards against counts that a new holder never gets because its predecessor acknowledged them.
#[test]
fn new_holder_gets_all_counts_again() {
    let mut counter = UsageCounter::default();
    let mut old = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    counter.note_start("blue", FIRST);
    counter.note_start("red", FIRST);
    exchange(&mut counter, &mut old, 7, 100);

    let mut new = UsageWindows::new(TERMS, boot(200));
    counter.note_holder(5, 0);
    exchange(&mut counter, &mut new, 7, 6_000);

    let (reports, _) = new.decide(FIRST - 1, 8, EPOCH_MS + 6_600, boot(6_600));
    assert_eq!(counts(&reports[0]), [("blue", 1), ("red", 1)]);
}

/// Guards against the loss of a holder's own counts with it, and against a report that waits for
/// the lost holder.
#[test]
fn next_holder_gets_the_counts_of_a_lost_one() {
    let mut lost = UsageCounter::default();
    let mut copies = CountCopies::default();
    let mut new = UsageWindows::new(TERMS, boot(200));
    lost.note_holder(1, 0);
    lost.note_start("blue", FIRST);
    lost.messages(FIRST, &frame(7, 100)).iter().for_each(|news| copies.note_news(news));

    let unneeded = copies.messages(1, &frame(8, 100));
    copies.note_holder(5, FIRST - 1);
    for news in copies.messages(5, &frame(8, 6_000)) {
        new.note_news(&news, boot(6_000));
        copies.note_receipt(news.boot, news.number, news.sequence);
    }
    let acknowledged = copies.messages(5, &frame(8, 6_400));
    let (reports, _) = new.decide(FIRST - 1, 8, EPOCH_MS + 6_600, boot(6_600));
    copies.note_holder(5, FIRST);

    assert_eq!(unneeded, []);
    assert_eq!(acknowledged, []);
    assert_eq!(counts(&reports[0]), [("blue", 1)]);
    assert_eq!(copies.messages(9, &frame(8, 7_000)), []);
}

/// Guards against traffic for counts that the holder already has.
#[test]
fn acknowledged_counts_are_not_sent_again() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    counter.note_start("blue", FIRST);
    exchange(&mut counter, &mut windows, 7, 100);

    let messages = counter.messages(FIRST, &frame(7, 500));

    assert!(messages.iter().all(|news| news.windows.is_empty()));
}

/// Guards against messages that don't fit into a datagram, and against a holder that takes one of
/// several messages for all of them.
#[test]
fn many_teams_are_split_over_messages() {
    let mut counter = UsageCounter::default();
    counter.note_holder(1, 0);
    for team in 0..300 {
        counter.note_start(&format!("team-with-a-long-name-{team}"), FIRST);
    }

    let messages = counter.messages(FIRST + 2, &frame(7, 100));

    assert!(messages.len() > 5, "messages: {}", messages.len());
    assert!(messages.iter().all(|news| news.encoded_len() <= MESSAGE_BYTES));
    assert!(messages.iter().all(|news| news.complete_through < FIRST));
}

/// Guards against a holder that treats the first of several messages as complete although the
/// counts are in a later one, because they don't fit beside the waiting requests.
#[test]
fn no_message_reports_large_counts_of_another_as_complete() {
    let mut counter = UsageCounter::default();
    counter.note_holder(1, 0);
    counter.note_start(&"long".repeat(300), FIRST);

    let messages = counter.messages(FIRST + 3, &frame(7, 100));

    assert!(messages.iter().all(|news| news.complete_through < FIRST), "{messages:?}");
}

/// Guards against a report that is decided before the VMs have sent their counts, where it is due
/// soon after its window.
#[test]
fn report_that_is_due_soon_waits_for_the_counts() {
    let terms = WindowTerms { due: Duration::from_secs(3), ..TERMS };
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(terms, boot(0));
    counter.note_holder(1, 0);
    exchange(&mut counter, &mut windows, 7, 9_800);
    counter.note_start("blue", FIRST + 1);

    let (early, _) = windows.decide(FIRST, 8, EPOCH_MS + 10_100, boot(10_100));
    exchange(&mut counter, &mut windows, 7, 10_200);
    let (late, _) = windows.decide(FIRST, 8, EPOCH_MS + 11_600, boot(11_600));

    assert_eq!(early, []);
    assert_eq!(counts(&late[0]), [("blue", 1)]);
}

/// Guards against memory that grows for as long as the platform is down, and against empty or
/// partial reports of windows whose counts the VMs dropped.
#[test]
fn windows_that_no_vm_keeps_are_not_reported() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    counter.note_start("blue", FIRST);
    exchange(&mut counter, &mut windows, 7, 3_000);

    let ms = 300 * 5_000;
    exchange(&mut counter, &mut windows, 7, ms);
    let (reports, _) = windows.decide(FIRST - 1, 1, EPOCH_MS + ms, boot(ms));

    let decided: Vec<u64> = reports.iter().map(|report| report.window).collect();
    assert_eq!(decided, [FIRST + 300 - 180]);
}

/// Guards against a report without the counts of a VM that is slow or cut off for a moment.
#[test]
fn report_waits_for_a_vm_whose_counts_are_missing() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    exchange(&mut counter, &mut windows, 7, 3_000);
    counter.note_start("blue", FIRST);

    let (early, _) = windows.decide(FIRST - 1, 8, EPOCH_MS + 7_000, boot(7_000));
    exchange(&mut counter, &mut windows, 7, 9_000);
    let (late, _) = windows.decide(FIRST - 1, 8, EPOCH_MS + 9_000, boot(9_000));

    assert_eq!(early, []);
    assert_eq!(counts(&late[0]), [("blue", 1)]);
}

/// Guards against reports that are never sent because a VM died.
#[test]
fn report_is_decided_before_it_is_due_without_a_lost_vm() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    counter.note_start("blue", FIRST);
    exchange(&mut counter, &mut windows, 7, 3_000);

    let (reports, _) = windows.decide(FIRST - 1, 8, EPOCH_MS + 12_100, boot(12_100));

    assert_eq!(counts(&reports[0]), [("blue", 1)]);
}

/// Guards against reports without the counts of an outage of the store: the VMs send them only after
/// the holder is known again.
#[test]
fn report_waits_after_a_lapse() {
    let mut counter = UsageCounter::default();
    let mut windows = UsageWindows::new(TERMS, boot(0));
    counter.note_holder(1, 0);
    counter.note_start("blue", FIRST);
    windows.note_lapse(boot(60_000));

    let (early, _) = windows.decide(FIRST - 1, 8, EPOCH_MS + 60_100, boot(60_100));
    exchange(&mut counter, &mut windows, 7, 61_000);
    let (late, _) = windows.decide(FIRST - 1, 1, EPOCH_MS + 62_600, boot(62_600));

    assert_eq!(early, []);
    assert_eq!(counts(&late[0]), [("blue", 1)]);
}

/// Guards against an empty report of a window whose counts were lost with all VMs.
#[test]
fn new_holder_does_not_report_empty_windows_of_the_past() {
    let mut windows = UsageWindows::new(TERMS, boot(20_000));

    let (reports, _) = windows.decide(FIRST - 100, 8, EPOCH_MS + 31_600, boot(31_600));

    let decided: Vec<u64> = reports.iter().map(|report| report.window).collect();
    assert_eq!(decided, [FIRST + 5]);
}

/// Guards against counts in the wrong window while the time of day jumps by seconds and back.
#[test]
fn true_time_ignores_jumps() {
    let mut clock = TrueClock::default();

    for second in 0..200_u64 {
        let jump_ms = if (120..150).contains(&second) { 7_000 } else { 0 };
        clock.note_time_of_day(boot(second * 1_000), EPOCH_MS + second * 1_000 + jump_ms);
        if second < 3 {
            continue;
        }
        assert_eq!(clock.unix_ms(boot(second * 1_000)), Some(EPOCH_MS + second * 1_000));
    }
}

/// Guards against a VM that starts during a jump and counts in the wrong windows for a minute.
#[test]
fn true_time_follows_the_fleet() {
    let mut clock = TrueClock::default();
    clock.note_time_of_day(boot(0), EPOCH_MS + 5_000);

    clock.note_fleet_time(boot(300), EPOCH_MS + 300);

    assert_eq!(clock.unix_ms(boot(2_000)), Some(EPOCH_MS + 2_000));
    assert_eq!(clock.own_unix_ms(boot(2_000)), Some(EPOCH_MS + 7_000));
}

/// Guards against a fleet that follows one VM whose clock is wrong.
#[test]
fn fleet_time_is_the_median() {
    let mut windows = UsageWindows::new(TERMS, boot(0));
    for (vm, jump_ms) in [(1, 0), (2, 6_000), (3, 0)] {
        let news = UsageNews { sequence: 1, ..frame(vm, 1_000 + jump_ms) };
        windows.note_news(&news, boot(1_000));
    }

    assert_eq!(windows.fleet_unix_ms(boot(1_500)), Some(EPOCH_MS + 1_500));
}
