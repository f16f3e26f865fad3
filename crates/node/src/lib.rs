//! The daemon of an entry VM, as a library.
//!
//! One control thread owns all control state and makes all decisions. The traffic threads handle
//! connections and streams. The binary only calls [`command`] and [`run_matches`].

mod admin;
mod call;
mod containment;
mod control;
mod daemon;
mod daemon_command;
mod generation;
mod http;
mod job;
mod log_appender;
mod log_tailer;
mod node_clock;
mod node_lifecycle;
mod node_metrics;
mod order_sender;
mod peer;
mod plugin_host;
mod plugins;
mod server_directory;
mod slo_events;

pub use crate::{
    daemon::{Daemon, DaemonError},
    daemon_command::{command, run_matches, run_with_args},
};
