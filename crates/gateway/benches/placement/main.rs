//! Time of a placement with learned capacity, and of a wake-up of the wait queue.
//!
//! The target of a placement is a percentile, so each placement is also timed by itself while
//! reports of peers and responses of servers arrive between placements. Percentiles are printed of
//! the elapsed time and of the processor time of the thread, which excludes the time in which other
//! processes ran on a busy machine. The checksum beside them covers all choices: it is the same for
//! two builds that choose the same servers.

mod bench_fleet;
mod bench_queue;

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use nix::time::{ClockId, clock_gettime};

use crate::{
    bench_fleet::{BenchFleet, FleetSize},
    bench_queue::BenchQueue,
};

/// Number of placements of which percentiles are computed.
const PLACEMENTS: usize = 4_000;
/// Numbers of waiting requests.
const WAITING: [u64; 3] = [10, 1_000, 10_000];

/// Returns the sizes to measure. With one zone, a placement compares all servers; a VM of a large
/// fleet with several zones compares those of its zone and a sample of the others.
fn fleet_sizes() -> Vec<FleetSize> {
    let mut sizes = Vec::new();
    for servers in [60, 600] {
        for vms in [65, 200] {
            for zones in [4, 1] {
                sizes.push(FleetSize { servers, vms, zones });
            }
        }
    }
    sizes
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("the system has a clock of the thread's processor time"))
}

fn describe(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let micros = |percent: usize| times[times.len() * percent / 100].as_nanos() as f64 / 1_000.0;
    format!("median {:.1} us, p99 {:.1} us", micros(50), micros(99))
}

fn print_percentiles(size: FleetSize) {
    for is_long in [true, false] {
        let mut fleet = BenchFleet::new(size);
        let (mut elapsed, mut used) = (Vec::new(), Vec::new());
        for _ in 0..PLACEMENTS {
            fleet.advance();
            let (begin, used_before) = (Instant::now(), processor_time());
            fleet.place(is_long);
            used.push(processor_time().saturating_sub(used_before));
            elapsed.push(begin.elapsed());
            fleet.note_choice();
        }
        println!(
            "{size}, {}: {}, processor {}, choices {:016x}",
            if is_long { "long" } else { "short" },
            describe(elapsed),
            describe(used),
            fleet.choices,
        );
    }
}

fn bench_placements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for size in fleet_sizes() {
        let mut fleet = BenchFleet::new(size);
        let mut is_long = false;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                is_long = !is_long;
                fleet.place(is_long);
            });
        });
    }
    group.finish();
}

fn bench_wakeups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("wake-up");
    for waiting in WAITING {
        let mut queue = BenchQueue::new(waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            bencher.iter(|| queue.free_memory());
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    // Without this option, which `cargo bench` passes, criterion only checks that benchmarks run.
    if std::env::args().any(|argument| argument == "--bench") {
        for size in fleet_sizes() {
            print_percentiles(size);
        }
    }
    bench_placements(&mut criterion);
    bench_wakeups(&mut criterion);
    criterion.final_summary();
}
