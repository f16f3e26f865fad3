//! Rules for bad versions.

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
    /// Generations stop after some tokens without an end.
    Hang {
        /// Number of tokens before.
        after_tokens: u64,
    },
}

/// Rule that makes a version bad: its conditions and its effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    /// Version to which the rule applies.
    pub version: VersionName,
    /// What the version does while all conditions hold.
    pub effect: BadEffect,
    /// Milliseconds from setting the rule until it takes effect.
    #[serde(default)]
    pub after_ms: u64,
    /// The rule applies while more generations than this are running on the engine.
    #[serde(default)]
    pub above_running: u32,
    /// Route to which the rule is limited; `None` means all routes.
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
