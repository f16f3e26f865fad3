//! Cost of one daemon on the path of a generation, with the engine called directly as the baseline
//! in the same run.
//!
//! The engine writes the time of emission into each token, and engine and caller share a process
//! and thus a clock, so that the difference between the two runs is the daemon's doing.

mod bench_daemon;
mod stamp_engine;
mod stream_caller;

use std::{error::Error, time::Duration};

use hdrhistogram::Histogram;

use crate::{bench_daemon::BenchDaemon, stamp_engine::StampEngine, stream_caller::StreamCaller};

/// Time between the tokens of one stream.
const TOKEN_PERIOD: Duration = Duration::from_millis(50);
/// Streams of each level. 170 streams give 3,400 tokens/s, one node's share of the design size.
const LEVELS: [usize; 4] = [170, 500, 850, 1_700];
/// Tokens per stream.
const TOKENS: u32 = 100;
/// Streams of each memory level.
const MEMORY_LEVELS: [usize; 3] = [1_000, 4_000, 8_000];
/// Tokens received by each stream when the memory is read.
const MEMORY_TOKENS: u32 = 5;

/// Histogram of microseconds up to one minute.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    if std::env::args().any(|argument| argument == "--test") {
        // `cargo test --benches` only checks that the program builds.
        return Ok(());
    }
    let engine = StampEngine::start(TOKEN_PERIOD).await?;
    let daemon = BenchDaemon::start(engine.address()).await?;
    println!("start to ready: {:?}", daemon.ready_after());
    if std::env::args().any(|argument| argument == "memory") {
        return print_memory(&engine, &daemon).await;
    }
    println!("tokens/s  path    token p50  p99 us  first token p50  p99 us  daemon cpu");
    for streams in LEVELS {
        let direct = StreamCaller::direct(engine.address());
        print_level(streams, "direct", &direct.run(streams, TOKENS).await?, 0.0);
        let before = daemon.cpu_seconds()?;
        let through = StreamCaller::through(daemon.address());
        let result = through.run(streams, TOKENS).await?;
        let cpu = (daemon.cpu_seconds()? - before) / result.elapsed.as_secs_f64();
        print_level(streams, "daemon", &result, cpu);
    }
    print_memory(&engine, &daemon).await?;
    Ok(())
}

fn print_level(streams: usize, path: &str, result: &stream_caller::RunResult, cpu: f64) {
    let rate = streams as f64 / TOKEN_PERIOD.as_secs_f64();
    println!(
        "{rate:>8.0}  {path:<6}  {:>9}  {:>6}  {:>15}  {:>6}  {:>9.0}%",
        result.tokens.value_at_quantile(0.5),
        result.tokens.value_at_quantile(0.99),
        result.first.value_at_quantile(0.5),
        result.first.value_at_quantile(0.99),
        cpu * 100.0,
    );
}

async fn print_memory(
    engine: &StampEngine,
    daemon: &BenchDaemon,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    // Slow streams, so that the load stays low while all are open. The period is below the 2 s
    // after which a connection without events is replaced.
    engine.set_period(Duration::from_secs(1));
    let idle = daemon.resident_kib()?;
    println!("open streams  resident KiB  KiB per stream");
    println!("{:>12}  {idle:>12}  {:>14}", 0, "-");
    for streams in MEMORY_LEVELS {
        let caller = StreamCaller::through(daemon.address());
        let open = caller.open(streams, MEMORY_TOKENS).await?;
        let resident = daemon.resident_kib()?;
        let each = resident.saturating_sub(idle) as f64 / streams as f64;
        println!("{streams:>12}  {resident:>12}  {each:>14.1}");
        open.close().await;
        // Abandoned generations are given up after the retention of 1 s.
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    Ok(())
}
