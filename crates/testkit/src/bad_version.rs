//! Behaviour of a bad version.

use dragonflycart_core::{RouteName, VersionName};
use dragonflycart_engine::GenerationRequest;
use serde::{Deserialize, Serialize};

/// What a bad version does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum BadEffect {
    /// Generations fail at their next token.
    Fail,
    /// Each token takes several steps.
    Slow {
        /// Steps per token.
        factor: u32,
    },
}

/// Condition and effect of a bad version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    /// Version that is bad.
    pub version: VersionName,
    /// What it does.
    pub effect: BadEffect,
    /// Milliseconds after which it becomes bad, counted from when this rule was given.
    #[serde(default)]
    pub after_ms: u64,
    /// Running requests on the engine above which it is bad.
    #[serde(default)]
    pub above_running: u32,
    /// The only route on which it is bad.
    #[serde(default)]
    pub route: Option<RouteName>,
}

impl BadVersion {
    /// Returns whether the rule applies to `request` now.
    pub(crate) fn applies(
        &self,
        request: &GenerationRequest,
        rule_age_ms: u64,
        running: u32,
    ) -> bool {
        self.version == request.version
            && rule_age_ms >= self.after_ms
            && running > self.above_running
            && self.route.as_ref().is_none_or(|route| *route == request.route)
    }
}
