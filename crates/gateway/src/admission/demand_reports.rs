//! Entries about the admission to engines in the reports between VMs.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_admission::{AdmissionTable, RankDemand, ServiceDemand};
use dragonflycart_core::MonoTime;

use crate::{DemandEntry, PeerReport, RankEntry, TeamEntry};

/// Number of teams whose use a report names. The teams with the most use of a VM are those that
/// matter for the shares.
const TEAMS_NAMED: usize = 8;

/// Adds this VM's demand and the use of its largest teams to a report.
pub fn fill_report(report: &mut PeerReport, table: &mut AdmissionTable, now: MonoTime) {
    for (service, demand) in table.own_demand(now) {
        let ranks = demand.ranks.into_iter().map(|(rank, demand)| RankEntry {
            rank: u32::from(rank),
            waiting: demand.waiting,
            tokens: demand.tokens,
            timely_tokens: demand.timely_tokens,
        });
        report.demand.push(DemandEntry {
            service,
            ranks: ranks.collect(),
            freed_per_s: demand.freed_per_s as u64,
            freed_samples_tenths: (demand.freed_samples * 10.0) as u32,
            promised_tokens: demand.promised_tokens,
        });
    }
    for (team, tokens) in table.team_use.largest(TEAMS_NAMED, now) {
        report.teams.push(TeamEntry { team: team.to_owned(), tokens });
    }
}

/// Applies what a peer reported. `interval` is the time between reports.
pub fn apply_report(
    report: &PeerReport,
    table: &mut AdmissionTable,
    interval: Duration,
    now: MonoTime,
) {
    let mut services = BTreeMap::new();
    for entry in &report.demand {
        let mut ranks = BTreeMap::new();
        for rank in &entry.ranks {
            let Ok(key) = u8::try_from(rank.rank) else { continue };
            let demand = RankDemand {
                waiting: rank.waiting,
                tokens: rank.tokens,
                timely_tokens: rank.timely_tokens,
            };
            ranks.insert(key, demand);
        }
        let demand = ServiceDemand {
            ranks,
            freed_per_s: entry.freed_per_s as f64,
            freed_samples: f64::from(entry.freed_samples_tenths) / 10.0,
            promised_tokens: entry.promised_tokens,
        };
        services.insert(entry.service.clone(), demand);
    }
    table.fleet_demand.note_report(report.boot, services, interval, now);
    let teams = report.teams.iter().map(|entry| (entry.team.clone(), entry.tokens)).collect();
    table.team_use.note_report(report.boot, &teams, now);
}
