//! The entry VM's daemon as a library.
mod node_lifecycle;
mod node_metrics;
mod node_clock;
mod peer;
