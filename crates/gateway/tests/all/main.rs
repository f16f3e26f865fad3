//! Tests of the gateway's decisions, without network, and of its connections, on loopback.

mod answers;
mod beliefs;
mod fixtures;
mod limits;
mod loads;
mod log_lines;
mod memberships;
mod moves;
mod paces;
mod routes;
mod server_channels;
mod splitting;
mod tables;
mod versions;
