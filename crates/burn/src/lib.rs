//! Counting of service-level objectives: good and bad events, burn rates, error budgets.
//!
//! The daemon counts and the command line merges the counts of all VMs. Both use this package, so
//! that a figure has one definition. No VM holds the counts of the others; a report asks each.

mod bucket_series;
mod sli_event;
mod sli_kind;
mod sli_measurement;
mod slo_definition;
mod burn_snapshot;
mod burn_tracker;
mod event_counts;
mod latency_histogram;
mod objective_snapshot;

pub use crate::{
    bucket_series::BucketSeries, burn_snapshot::BurnSnapshot, burn_tracker::BurnTracker,
    event_counts::EventCounts, latency_histogram::LatencyHistogram,
    objective_snapshot::ObjectiveSnapshot, sli_event::SliEvent, sli_kind::SliKind,
    sli_measurement::SliMeasurement, slo_definition::SloDefinition,
};
