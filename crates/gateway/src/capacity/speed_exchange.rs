//! Exchange of measured speeds with the other VMs.

use std::time::Duration;

use dragonflycart_capacity::PeerSample;
use dragonflycart_core::MonoTime;

use crate::{FleetView, PeerReport, SpeedEntry};

/// Maximum number of speeds in a report, about 30 bytes each. Traffic between zones is billed by the
/// byte, and a VM that uses more servers reports them in turn.
const SPEEDS_REPORTED: usize = 8;
/// Maximum age of a sample that is reported, which is several report intervals.
const REPORTED_AGE: Duration = Duration::from_secs(2);

/// Returns measured speeds for a report. Consecutive values of `turn` select different servers.
pub fn speed_entries(view: &FleetView, turn: u64, now: MonoTime) -> Vec<SpeedEntry> {
    let samples = view.own_speed_samples(REPORTED_AGE, now);
    let mut entries = Vec::new();
    let start = (turn as usize).wrapping_mul(SPEEDS_REPORTED);
    for index in 0..SPEEDS_REPORTED.min(samples.len()) {
        let (key, sample) = samples[start.wrapping_add(index) % samples.len()];
        let Some(state) = view.server(key) else { continue };
        entries.push(SpeedEntry {
            server: state.id.clone(),
            samples: sample.samples,
            speed_percent: (sample.speed * 100.0).round().max(1.0) as u32,
            age_ms: sample.age.as_millis() as u32,
            started_at_ms: state.record.started_at_ms,
        });
    }
    entries
}

/// Applies the speeds in a peer's report.
pub fn apply_speeds(view: &mut FleetView, report: &PeerReport, now: MonoTime) {
    for entry in &report.speeds {
        let sample = PeerSample {
            samples: entry.samples,
            speed: f64::from(entry.speed_percent) / 100.0,
            age: Duration::from_millis(u64::from(entry.age_ms)),
        };
        view.note_peer_speed(report.boot, &entry.server, entry.started_at_ms, sample, now);
    }
}
