//! One row of the results.

use serde::Serialize;

use crate::RunMetrics;

/// One row of the results: a run, or the mean over runs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunRow {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Seed; 0 in a row of means.
    pub seed: u64,
    /// Stall time in seconds.
    pub stall_s: f64,
    /// Preemptions.
    pub preemptions: f64,
    /// 95th percentile of the gap between tokens.
    pub gap_p95_ms: f64,
    /// 99th percentile of the gap between tokens.
    pub gap_p99_ms: f64,
    /// Median time to first token of interactive requests.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token of interactive requests.
    pub ttft_p95_ms: f64,
    /// Tokens of requests that were completed within their deadline, in thousands.
    pub in_time_ktok: f64,
    /// Tokens delivered, in thousands.
    pub total_ktok: f64,
    /// Share of the requests that were completed within their deadline.
    pub in_time_share: f64,
    /// Requests rejected before their first dispatch.
    pub rejected: f64,
    /// Requests cancelled or rejected after they had been dispatched.
    pub interrupted: f64,
    /// Lowest ratio of served to demanded tokens over small teams.
    pub small_team: f64,
    /// Requests that reached a cold engine over its limit.
    pub cold_over: f64,
    /// Those of them that arrived after every VM must have known that the engine was cold.
    pub cold_known: f64,
    /// Ratio of repeated dispatches to first dispatches.
    pub retry_load: f64,
    /// Engine failures.
    pub failures: f64,
    /// Mean time from the restart of an engine until it ran 0.9 times as many requests as a warm
    /// engine on average, in seconds.
    pub ramp_s: f64,
}

impl RunRow {
    /// Builds the row of a run.
    pub fn new(scenario: &str, policy: &str, seed: u64, metrics: &RunMetrics) -> RunRow {
        let ramps = metrics.ramp_times.len().max(1) as f64;
        RunRow {
            scenario: scenario.to_owned(),
            policy: policy.to_owned(),
            seed,
            stall_s: metrics.stall / 1_000.0,
            preemptions: metrics.preemptions as f64,
            gap_p95_ms: metrics.token_gaps.value_at_quantile(0.95) as f64 / 1_000.0,
            gap_p99_ms: metrics.token_gaps.value_at_quantile(0.99) as f64 / 1_000.0,
            ttft_p50_ms: metrics.first_token_times.value_at_quantile(0.5) as f64 / 1_000.0,
            ttft_p95_ms: metrics.first_token_times.value_at_quantile(0.95) as f64 / 1_000.0,
            in_time_ktok: metrics.tokens_in_time as f64 / 1_000.0,
            total_ktok: metrics.tokens as f64 / 1_000.0,
            in_time_share: metrics.in_time as f64 / metrics.arrived.max(1) as f64,
            rejected: metrics.rejected as f64,
            interrupted: metrics.interrupted as f64,
            small_team: metrics.min_small_team_ratio(),
            cold_over: metrics.over_cold_limit as f64,
            cold_known: metrics.over_known_cold_limit as f64,
            retry_load: metrics.retries as f64 / metrics.dispatches.max(1) as f64,
            failures: metrics.engine_failures as f64,
            ramp_s: metrics.ramp_times.iter().sum::<f64>() / ramps / 1_000.0,
        }
    }

    fn values(&self) -> [f64; 17] {
        [
            self.stall_s,
            self.preemptions,
            self.gap_p95_ms,
            self.gap_p99_ms,
            self.ttft_p50_ms,
            self.ttft_p95_ms,
            self.in_time_ktok,
            self.total_ktok,
            self.in_time_share,
            self.rejected,
            self.interrupted,
            self.small_team,
            self.cold_over,
            self.cold_known,
            self.retry_load,
            self.failures,
            self.ramp_s,
        ]
    }
}

/// Returns the mean of the rows of one scenario and policy.
pub fn mean_row(rows: &[RunRow]) -> Option<RunRow> {
    let first = rows.first()?;
    let mut sums = [0.0; 17];
    for row in rows {
        for (sum, value) in sums.iter_mut().zip(row.values()) {
            *sum += value;
        }
    }
    let mean = sums.map(|sum| sum / rows.len() as f64);
    Some(RunRow {
        scenario: first.scenario.clone(),
        policy: first.policy.clone(),
        seed: 0,
        stall_s: mean[0],
        preemptions: mean[1],
        gap_p95_ms: mean[2],
        gap_p99_ms: mean[3],
        ttft_p50_ms: mean[4],
        ttft_p95_ms: mean[5],
        in_time_ktok: mean[6],
        total_ktok: mean[7],
        in_time_share: mean[8],
        rejected: mean[9],
        interrupted: mean[10],
        small_team: mean[11],
        cold_over: mean[12],
        cold_known: mean[13],
        retry_load: mean[14],
        failures: mean[15],
        ramp_s: mean[16],
    })
}

/// Prints rows as a Markdown table.
pub fn print_table(rows: &[RunRow]) {
    println!(
        "| scenario | policy | stall s | preempt | gap p95 | gap p99 | TTFT p50 | TTFT p95 | \
         in time kt | total kt | in time % | reject | interrupt | small team | cold over | known | \
         retry % | fail | ramp s |"
    );
    println!("|---|---|{}", "---:|".repeat(17));
    for row in rows {
        println!(
            "| {} | {} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | \
             {:.0} | {:.1} | {:.2} | {:.1} | {:.1} | {:.2} | {:.1} | {:.1} |",
            row.scenario,
            row.policy,
            row.stall_s,
            row.preemptions,
            row.gap_p95_ms,
            row.gap_p99_ms,
            row.ttft_p50_ms,
            row.ttft_p95_ms,
            row.in_time_ktok,
            row.total_ktok,
            row.in_time_share * 100.0,
            row.rejected,
            row.interrupted,
            row.small_team,
            row.cold_over,
            row.cold_known,
            row.retry_load * 100.0,
            row.failures,
            row.ramp_s,
        );
    }
}
