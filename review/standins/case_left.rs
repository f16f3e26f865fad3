//! DRAIN: a runner leaves while one gateway is cut off from the store and the other one restarts.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, manifest, order_request},
    http::exchange,
    record::Record,
    service::Desk,
    store::Store,
};

const RUNNERS: usize = 7;
const CLIENTS: usize = 20;
/// Pause of a client between two orders.
const PAUSE: Duration = Duration::from_millis(100);
const TIME_BUDGET: Duration = Duration::from_millis(1_000);
/// Time for which the second gateway is cut off from the store.
const CUT_TIME: Duration = Duration::from_millis(4_500);
/// Time from the start of the cut and the SIGTERM to the removal of the entry.
const LEAVES_AFTER: Duration = Duration::from_secs(1);
/// Time for which the runner serves on: `drain_ms` and some seconds.
const NOTICE: Duration = Duration::from_secs(15);
/// `drain_ms` and `contact_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Late orders that the record names.
const LATE_SHOWN: usize = 10;

pub fn run(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let store = Store::start();
    store.put("keyed.op", "config", Some(&manifest(34_159, 0.0, 0.0)));
    let desk = Desk::new(store.clone(), record.clone());
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        runners.push(desk.start(&format!("i-{number}")));
    }
    let mut fleet = Fleet::start("left", 2, &store)?;
    let front = fleet.gateways[1].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let attempt = format!("order-{}", next.fetch_add(1, Ordering::SeqCst));
                exchange(front, &order_request(&attempt, TIME_BUDGET), TIME_BUDGET);
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));

    let cut_at = Instant::now();
    if has_trouble {
        record.note("edge-a-2 is cut off from the store");
        fleet.gateways[1].store_path.set(true);
        record.note("edge-a-1 gets SIGTERM");
        let leaving = Arc::clone(&runners[0]);
        let leaves = thread::spawn(move || {
            thread::sleep(LEAVES_AFTER);
            leaving.leave(NOTICE);
        });
        fleet.restart(0)?;
        record.note("edge-a-1 starts again");
        leaves.join().ok()?;
    } else {
        runners[0].leave(NOTICE);
    }
    thread::sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
    fleet.gateways[1].store_path.set(false);
    let healed_at = Instant::now();
    record.note("the cut has healed");
    thread::sleep(NOTICE);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok()?;
    }
    fleet.close();

    let removed_at = (*runners[0].removed_at.lock().expect("not poisoned"))?;
    // The gateway that takes all orders is in touch again from then on.
    let bound_from = (removed_at + DRAIN_TIME).max(healed_at + CONTACT_TIME);
    let arrivals = desk.arrivals.lock().expect("not poisoned");
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.runner == runners[0].id && arrival.at > bound_from)
        .collect();
    for arrival in late.iter().take(LATE_SHOWN) {
        record.note(format_args!(
            "BROKEN: {} reached {} {} ms after the store had accepted that its entry is gone",
            arrival.attempt,
            arrival.runner,
            (arrival.at - removed_at).as_millis()
        ));
    }
    record.note(format_args!("{} orders reached the runner too late", late.len()));
    Some(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
