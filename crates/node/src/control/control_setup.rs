//! Builds parts of the control state from the settings.

use dragonflycart_burn::{BurnTracker, SliKind, SloDefinition};
use dragonflycart_core::{Incarnation, WallTime};
use dragonflycart_policy::{PolicySettings, VmPosition};
use dragonflycart_settings::{Config, ObjectiveKind};

/// Builds the tracker of the configured service-level objectives.
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

/// Builds the settings of the placement.
pub(crate) fn policy_settings(config: &Config) -> PolicySettings {
    let mut settings = PolicySettings {
        policy: config.placement.policy.clone(),
        max_memory_share: config.placement.headroom,
        pause_limit: config.timeouts.control_pause,
        zone_ramp: config.timeouts.zone_ramp,
        // The limits on requests to cold servers rely on a report from one of the last two polls.
        report_freshness: config.timeouts.report_lag + config.timeouts.report_poll * 2,
        report_timeout: config.timeouts.peer_silence,
        ..PolicySettings::default()
    };
    for (zone, zone_settings) in &config.zones {
        settings.ordinal_counts.insert(zone.clone(), zone_settings.ordinal_count);
    }
    for (team, team_settings) in &config.teams {
        // The settings have fractional weights, the queue integer ones.
        let weight = (team_settings.weight * WEIGHT_SCALE).round().max(1.0) as u32;
        settings.team_weights.insert(team.clone(), weight);
    }
    let weights = &config.placement;
    settings.class_weights = [weights.weight_high, weights.weight_normal, weights.weight_low]
        .map(|weight| (weight * WEIGHT_SCALE).round().max(1.0) as u32);
    settings
}

/// Integer weight in the queue that corresponds to a weight of one in the settings.
const WEIGHT_SCALE: f64 = 16.0;

/// Returns the zone, ordinal and incarnation of this VM.
pub(crate) fn vm_position(config: &Config, incarnation: Incarnation) -> VmPosition {
    VmPosition { zone: config.vm.zone.clone(), ordinal: config.vm.ordinal, incarnation }
}
