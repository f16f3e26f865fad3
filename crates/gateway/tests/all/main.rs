//! Tests of the gateway's decisions without network, and of its connections on the loopback
//! interface.

mod clocks;
mod fixtures;
mod generation_timings;
mod limits;
mod log_lines;
mod memory;
mod moves;
mod parsers;
mod peer_tables;
mod placements;
mod response_heads;
mod revocation;
mod revocation_model;
mod routes;
mod server_connections;
mod server_states;
mod splitting;
mod tables;
mod version_faults;
mod version_moves;
