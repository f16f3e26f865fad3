//! Tests of the learned capacity of servers.

mod changes;
mod fleets;
mod load_headers;
mod speeds;
