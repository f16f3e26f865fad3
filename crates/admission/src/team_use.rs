//! Recent use of engines by teams, over all VMs.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

/// Time constant with which use decays. It covers about one long generation: a team that stopped
/// sending has its full share again soon after.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Use below which a team is forgotten, in tokens.
const LEAST_TOKENS: f64 = 1.0;

/// Decaying sum of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct DecayedTokens {
    tokens: f64,
    updated_at: MonoTime,
}

impl DecayedTokens {
    fn at(self, now: MonoTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.tokens * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, tokens: f64, now: MonoTime) {
        self.tokens = (self.at(now) + tokens).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Tokens of prompts and outputs that teams used recently, over all VMs. Each VM reports its own use,
/// and a report replaces the one before. What a VM reported decays like its own use, so a VM that
/// stopped, was cut off or has restarted needs no further care.
#[derive(Debug, Clone, Default)]
pub struct TeamUse {
    own: BTreeMap<String, DecayedTokens>,
    peers: BTreeMap<u64, BTreeMap<String, DecayedTokens>>,
    /// Sum of the own use and of all reports.
    totals: BTreeMap<String, DecayedTokens>,
}

impl TeamUse {
    /// Records that this VM admitted a request of a team.
    pub fn charge(&mut self, team: &str, tokens: u64, now: MonoTime) {
        if team.is_empty() {
            return;
        }
        self.own.entry(team.to_owned()).or_default().add(tokens as f64, now);
        self.totals.entry(team.to_owned()).or_default().add(tokens as f64, now);
    }

    /// Replaces the use that the VM with this ID reported of some teams. What it reported of others
    /// before decays, as it does there.
    pub fn note_report(&mut self, peer: u64, teams: &BTreeMap<String, u64>, now: MonoTime) {
        let reported = self.peers.entry(peer).or_default();
        for (team, tokens) in teams {
            let known = reported.entry(team.clone()).or_default();
            let change = *tokens as f64 - known.at(now);
            *known = DecayedTokens { tokens: *tokens as f64, updated_at: now };
            self.totals.entry(team.clone()).or_default().add(change, now);
        }
        self.forget(now);
    }

    /// Returns a team's use over all VMs, in tokens.
    pub fn tokens(&self, team: &str, now: MonoTime) -> f64 {
        self.totals.get(team).map_or(0.0, |total| total.at(now))
    }

    /// Returns the share of all use that is by teams with no more use than this one. Requests of these
    /// teams go before its own, those of the others behind.
    pub fn share_ahead_of(&self, team: &str, now: MonoTime) -> f64 {
        let own = self.tokens(team, now);
        let (mut ahead, mut sum) = (own, own);
        for (_, total) in self.totals.iter().filter(|(other, _)| *other != team) {
            let tokens = total.at(now);
            sum += tokens;
            ahead += if tokens <= own { tokens } else { 0.0 };
        }
        if sum > 0.0 { ahead / sum } else { 1.0 }
    }

    /// Returns the use on this VM of the `count` teams with the most, to be reported to the others.
    pub fn largest(&self, count: usize, now: MonoTime) -> Vec<(&str, u64)> {
        let mut teams: Vec<(&str, u64)> =
            self.own.iter().map(|(team, tokens)| (team.as_str(), tokens.at(now) as u64)).collect();
        teams.retain(|(_, tokens)| *tokens > 0);
        teams.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        teams.truncate(count);
        teams
    }

    /// Forgets teams and VMs whose use has decayed. Each report from another VM does the same, but
    /// a VM without others gets none.
    pub(crate) fn forget(&mut self, now: MonoTime) {
        self.own.retain(|_, tokens| tokens.at(now) >= LEAST_TOKENS);
        self.totals.retain(|_, tokens| tokens.at(now) >= LEAST_TOKENS);
        for teams in self.peers.values_mut() {
            teams.retain(|_, tokens| tokens.at(now) >= LEAST_TOKENS);
        }
        self.peers.retain(|_, teams| !teams.is_empty());
    }
}
