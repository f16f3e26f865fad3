//! Service-level objectives: counts of good and bad events, burn rates and error budgets.
//!
//! The daemon counts events; the command line fetches the counts of each VM and merges them, since
//! no VM holds the counts of the others. Both use this crate, so that each figure is computed in
//! one place.

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
