//! Counting of service-level objectives: good and bad events, burn rates, error budgets.
//!
//! The daemon counts and the command line merges the counts of all VMs. Both use this package, so
//! that a figure has one definition. No VM holds the counts of the others; a report asks each.

mod bucket_series;
mod burn_event;
mod burn_kind;
mod burn_measure;
mod burn_objective;
mod burn_snapshot;
mod burn_tracker;
mod event_counts;
mod latency_histogram;
mod objective_snapshot;

pub use crate::{
    bucket_series::BucketSeries, burn_event::BurnEvent, burn_kind::BurnKind,
    burn_measure::BurnMeasure, burn_objective::BurnObjective, burn_snapshot::BurnSnapshot,
    burn_tracker::BurnTracker, event_counts::EventCounts, latency_histogram::LatencyHistogram,
    objective_snapshot::ObjectiveSnapshot,
};
