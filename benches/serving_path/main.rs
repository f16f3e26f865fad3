//! Latency and processor time that one daemon adds to a generation, and its memory per open stream.
//! The baseline is the engine called directly, measured in the same run.
//!
//! The engine writes the time of emission into each token. The engine and the callers share a
//! process and thus a clock, so the difference in token age between the daemon and the baseline is
//! due to the daemon.

mod bench_daemon;
mod timestamp_engine;
mod stream_caller;

use std::{error::Error, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    bench_daemon::BenchDaemon, stream_caller::StreamCaller, timestamp_engine::TimestampEngine,
};

/// Time between the tokens of one stream.
const TOKEN_PERIOD: Duration = Duration::from_millis(50);
/// Numbers of concurrent streams to measure. 170 streams give 3,400 tokens/s, one node's share of
/// the design size.
const STREAM_COUNTS: [usize; 4] = [170, 500, 850, 1_700];
/// Tokens per stream.
const TOKENS: u32 = 100;
/// Numbers of open streams at which to measure the memory.
const MEMORY_STREAM_COUNTS: [usize; 3] = [1_000, 4_000, 8_000];
/// Number of tokens that each stream has received before the memory is measured.
const TOKENS_BEFORE_MEMORY: u32 = 5;

/// Builds a histogram of microseconds up to one minute.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    if std::env::args().any(|argument| argument == "--test") {
        // `cargo test --benches` only checks that the program builds.
        return Ok(());
    }
    let engine = TimestampEngine::start(TOKEN_PERIOD).await?;
    let daemon = BenchDaemon::start(engine.address()).await?;
    println!("start to ready: {:?}", daemon.startup_time());
    if std::env::args().any(|argument| argument == "memory") {
        return print_memory(&engine, &daemon).await;
    }
    println!("tokens/s  path    token p50  p99 us  first token p50  p99 us  daemon cpu");
    for streams in STREAM_COUNTS {
        let engine_caller = StreamCaller::to_engine(engine.address());
        print_level(streams, "direct", &engine_caller.run(streams, TOKENS).await?, 0.0);
        let before = daemon.cpu_seconds()?;
        let daemon_caller = StreamCaller::via_daemon(daemon.address());
        let result = daemon_caller.run(streams, TOKENS).await?;
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
        result.token_ages.value_at_quantile(0.5),
        result.token_ages.value_at_quantile(0.99),
        result.first_tokens.value_at_quantile(0.5),
        result.first_tokens.value_at_quantile(0.99),
        cpu * 100.0,
    );
}

async fn print_memory(
    engine: &TimestampEngine,
    daemon: &BenchDaemon,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    // Slow streams keep the load low while all of them are open. The period is below the 2 s after
    // which a connection without events is replaced.
    engine.set_period(Duration::from_secs(1));
    let idle = daemon.resident_memory_kib()?;
    println!("open streams  resident KiB  KiB per stream");
    println!("{:>12}  {idle:>12}  {:>14}", 0, "-");
    for streams in MEMORY_STREAM_COUNTS {
        let caller = StreamCaller::via_daemon(daemon.address());
        let open = caller.open(streams, TOKENS_BEFORE_MEMORY).await?;
        let resident = daemon.resident_memory_kib()?;
        let each = resident.saturating_sub(idle) as f64 / streams as f64;
        println!("{streams:>12}  {resident:>12}  {each:>14.1}");
        open.close().await;
        // The daemon removes abandoned generations after the retention time of 1 s.
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    Ok(())
}
