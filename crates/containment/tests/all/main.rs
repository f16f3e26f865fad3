//! Tests of the containment of prompts that crash engines.

mod common_ends;
mod fixtures;
mod fleet_trials;
mod fleets;
mod verdicts;
