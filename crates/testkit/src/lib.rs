//! Fakes of the platform and of backend servers, for tests and the embedded trial.
//!
//! They are written for this repository, so that no test needs a third-party server. Each fake
//! runs within a test's process or, through the programs in `examples/`, as its own process that
//! can be killed or stopped by a signal. Each shows faults on command.

mod answer_faults;
mod bad_version;
mod connection_number;
mod engine_command;
mod engine_config;
mod engine_core;
mod engine_stats;
mod fake_engine;
mod fake_server;
mod fault_command;
mod fault_gate;
mod fault_listener;
mod fault_stream;
mod fault_switch;
mod generation_record;
mod lagged_value;
mod listen_addresses;
mod prefix_cache;
mod token_source;

pub use crate::{
    bad_version::{BadEffect, BadVersion},
    connection_number::ConnectionNumber,
    engine_command::EngineCommand,
    engine_config::EngineConfig,
    engine_stats::EngineStats,
    fake_engine::FakeEngine,
    fake_server::FakeServer,
    fault_command::FaultCommand,
    fault_gate::FaultGate,
    fault_listener::FaultListener,
    fault_stream::FaultStream,
    fault_switch::FaultSwitch,
    listen_addresses::ListenAddresses,
    prefix_cache::{CacheAction, CacheEvent},
    token_source::TokenSource,
};
