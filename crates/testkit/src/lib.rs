//! Fakes of the platform and of backend servers, for tests and for the trial in `examples/trial`.
//!
//! They are written for this repository, so that no test needs a third-party server. Each fake
//! runs within a test's process or, through the programs in `examples/`, as its own process that
//! can be killed or stopped by a signal. Tests inject faults into each of them, either through
//! method calls or through its HTTP control endpoint.

mod bad_version;
mod child_process;
mod connection_faults;
mod connection_number;
mod directory_config;
mod engine_command;
mod engine_config;
mod engine_core;
mod engine_stats;
mod fake_arguments;
mod fake_directory;
mod fake_engine;
mod fake_log;
mod fake_process;
mod fake_server;
mod fake_service;
mod fake_weights;
mod fault_command;
mod fault_injector;
mod fault_listener;
mod fault_relay;
mod fault_stream;
mod generation_record;
mod generation_table;
mod lagged_value;
mod listen_addresses;
mod log_command;
mod log_config;
mod log_core;
mod log_stats;
mod prefix_cache;
mod rate_limiter;
mod relay_command;
mod relay_connections;
mod response_faults;
mod service_command;
mod service_config;
mod service_core;
mod service_stats;
mod token_source;
mod weight_config;
mod weight_stats;

pub use crate::{
    bad_version::{BadEffect, BadVersion},
    child_process::{ChildProcess, find_program},
    connection_faults::ConnectionFaults,
    connection_number::ConnectionNumber,
    directory_config::DirectoryConfig,
    engine_command::EngineCommand,
    engine_config::EngineConfig,
    engine_stats::EngineStats,
    fake_arguments::{FakeArguments, address_argument, run_until_dead, wait_for_stdin_eof},
    fake_directory::FakeDirectory,
    fake_engine::FakeEngine,
    fake_log::FakeLog,
    fake_process::FakeProcess,
    fake_server::FakeServer,
    fake_service::FakeService,
    fake_weights::FakeWeights,
    fault_command::FaultCommand,
    fault_injector::FaultInjector,
    fault_listener::FaultListener,
    fault_relay::FaultRelay,
    fault_stream::FaultStream,
    listen_addresses::ListenAddresses,
    log_command::{LogCommand, OutageKind},
    log_config::LogConfig,
    log_stats::LogStats,
    relay_command::{RelayCommand, RelayMode, RelayScope},
    service_command::ServiceCommand,
    service_config::ServiceConfig,
    service_stats::{ExecutedCall, ServiceStats},
    token_source::TokenSource,
    weight_config::WeightConfig,
    weight_stats::WeightStats,
};
