//! Control state built from the settings.

use dragonflycart_burn::{BurnTracker, SliKind, SloDefinition};
use dragonflycart_core::{Incarnation, WallTime};
use dragonflycart_policy::{PolicySettings, VmPosition};
use dragonflycart_settings::{Config, ObjectiveKind};

/// Builds the counters of the configured objectives.
pub(crate) fn burn_tracker(
    config: &Config,
    incarnation: Incarnation,
    wall: WallTime,
) -> BurnTracker {
    let mut objectives = Vec::new();
    for (name, settings) in &config.objectives {
        let kind = match settings.kind {
            ObjectiveKind::FirstToken => SliKind::FirstToken,
            ObjectiveKind::TokenGap => SliKind::TokenGap,
            ObjectiveKind::WithinDeadline => SliKind::WithinDeadline,
            ObjectiveKind::Answered => SliKind::Answered,
        };
        objectives.push(SloDefinition {
            name: name.clone(),
            route: settings.route.clone(),
            team: settings.team.clone(),
            kind,
            threshold_us: settings.threshold.map(|span| span.as_micros() as u64),
            ratio: settings.ratio,
            window_ms: settings.window.as_millis() as u64,
        });
    }
    BurnTracker::new(config.vm.zone.clone(), config.vm.ordinal, incarnation, wall, objectives)
}

/// Builds the placement settings from the daemon's settings.
pub(crate) fn policy_settings(config: &Config) -> PolicySettings {
    let mut settings = PolicySettings {
        policy: config.placement.policy.clone(),
        max_memory_share: config.placement.headroom,
        pause_limit: config.timeouts.control_pause,
        zone_ramp: config.timeouts.zone_ramp,
        // Cold-start slots need a report of the last two polls.
        report_freshness: config.timeouts.report_lag + config.timeouts.report_poll * 2,
        report_timeout: config.timeouts.peer_silence,
        ..PolicySettings::default()
    };
    for (zone, zone_settings) in &config.zones {
        settings.ordinal_counts.insert(zone.clone(), zone_settings.ordinal_count);
    }
    for (team, team_settings) in &config.teams {
        // Weights are fractions in the settings and integers in the queue.
        let weight = (team_settings.weight * WEIGHT_SCALE).round().max(1.0) as u32;
        settings.team_weights.insert(team.clone(), weight);
    }
    let weights = &config.placement;
    settings.class_weights = [weights.weight_high, weights.weight_normal, weights.weight_low]
        .map(|weight| (weight * WEIGHT_SCALE).round().max(1.0) as u32);
    settings
}

/// Steps of a weight of one.
const WEIGHT_SCALE: f64 = 16.0;

/// Returns the position of this VM.
pub(crate) fn vm_position(config: &Config, incarnation: Incarnation) -> VmPosition {
    VmPosition { zone: config.vm.zone.clone(), ordinal: config.vm.ordinal, incarnation }
}
