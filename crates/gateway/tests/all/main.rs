//! Tests of the gateway's decisions without network, and of its connections on the loopback
//! interface.

mod call_forwarding;
mod clocks;
mod fixtures;
mod generation_timings;
mod hand_overs;
mod limits;
mod log_lines;
mod memory;
mod moves;
mod peer_tables;
mod placements;
mod response_heads;
mod revocation;
mod revocation_model;
mod routes;
mod scripted_engine;
mod server_connections;
mod server_states;
mod source_stops;
mod splitting;
mod stub_protocol;
mod stub_store;
mod tables;
mod version_faults;
mod version_moves;
