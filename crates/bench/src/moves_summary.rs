//! Summary of the version move experiment.

use std::fmt;

use crate::MovesOutcome;

/// Summary of all runs of one scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct MovesSummary {
    /// Scenario.
    pub scenario: String,
    /// Number of runs.
    pub runs: usize,
    /// Moves done by the deadline, in percent, with the policy and with the baseline.
    pub done: [f64; 2],
    /// Moves rolled back, in percent, with the policy and with the baseline.
    pub rolled_back: [f64; 2],
    /// Mean number of requests sent to a bad version, with the policy and with the baseline.
    pub bad_requests: [f64; 2],
    /// Ratio of the bad requests with the policy to those with the baseline, over the runs in which
    /// both rolled back.
    pub paired_ratio: Option<f64>,
    /// 50th and 100th percentile of the time from sufficient evidence to the last request to the
    /// new version.
    pub reaction_s: Option<(f64, f64)>,
    /// Number of moves for which this time was over 3 s.
    pub slow_reactions: usize,
    /// Longest time from twice the sufficient evidence to the last request to the new version.
    pub clear_reaction_s: Option<f64>,
    /// Number of moves that ended late, without a report or with VMs in different states.
    pub late: usize,
}

impl MovesSummary {
    /// Summarizes the runs of one scenario, with the policy and with the baseline in the same
    /// order of seeds.
    pub fn new(policy: &[MovesOutcome], baseline: &[MovesOutcome]) -> MovesSummary {
        let both = [policy, baseline];
        let mut sums = [0.0, 0.0];
        for (a, b) in policy.iter().zip(baseline) {
            if is_rolled_back(a) && is_rolled_back(b) {
                sums[0] += a.bad_requests as f64;
                sums[1] += b.bad_requests as f64;
            }
        }
        let mut reactions: Vec<f64> = policy.iter().filter_map(|run| run.reaction_s).collect();
        reactions.sort_by(f64::total_cmp);
        let reaction_s = reactions.last().map(|longest| (reactions[reactions.len() / 2], *longest));
        MovesSummary {
            scenario: policy.first().map(|run| run.scenario.clone()).unwrap_or_default(),
            runs: policy.len(),
            done: both.map(|runs| percent(runs, |run| run.done_in_time)),
            rolled_back: both.map(|runs| percent(runs, is_rolled_back)),
            bad_requests: both.map(|runs| {
                runs.iter().map(|run| run.bad_requests as f64).sum::<f64>() / runs.len() as f64
            }),
            paired_ratio: (sums[1] > 0.0).then(|| sums[0] / sums[1]),
            reaction_s,
            slow_reactions: reactions.iter().filter(|reaction| **reaction > 3.0).count(),
            clear_reaction_s: policy.iter().filter_map(|run| run.clear_reaction_s).reduce(f64::max),
            late: policy.iter().filter(|run| run.late || run.split).count(),
        }
    }

    /// Returns the heading of the table.
    pub fn heading() -> String {
        let counts = format!("{:<16}{:>5}{:>8}{:>8}", "scenario", "runs", "done%", "base");
        let bad = format!("{:>8}{:>8}{:>9}{:>9}", "back%", "base", "badreq", "base");
        let ratios = format!("{:>7}{:>7}{:>7}{:>7}", "ratio", "paired", "p50 s", "max s");
        format!("{counts}{bad}{ratios}{:>5}{:>7}{:>5}", ">3 s", "max 2x", "late")
    }
}

impl fmt::Display for MovesSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<16}{:>5}", self.scenario, self.runs)?;
        write!(f, "{:>8.1}{:>8.1}", self.done[0], self.done[1])?;
        write!(f, "{:>8.1}{:>8.1}", self.rolled_back[0], self.rolled_back[1])?;
        write!(f, "{:>9.0}{:>9.0}", self.bad_requests[0], self.bad_requests[1])?;
        let ratio =
            (self.bad_requests[1] > 0.0).then(|| self.bad_requests[0] / self.bad_requests[1]);
        for value in [ratio, self.paired_ratio] {
            match value {
                Some(value) => write!(f, "{value:>7.2}")?,
                None => write!(f, "{:>7}", "-")?,
            }
        }
        match self.reaction_s {
            Some((median, longest)) => write!(f, "{median:>7.2}{longest:>7.2}")?,
            None => write!(f, "{:>7}{:>7}", "-", "-")?,
        }
        write!(f, "{:>5}", self.slow_reactions)?;
        match self.clear_reaction_s {
            Some(longest) => write!(f, "{longest:>7.2}")?,
            None => write!(f, "{:>7}", "-")?,
        }
        write!(f, "{:>5}", self.late)
    }
}

fn is_rolled_back(run: &MovesOutcome) -> bool {
    run.state == "rolled_back"
}

fn percent(runs: &[MovesOutcome], test: impl Fn(&MovesOutcome) -> bool) -> f64 {
    100.0 * runs.iter().filter(|run| test(run)).count() as f64 / runs.len() as f64
}
