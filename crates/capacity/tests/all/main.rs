//! Tests of the learned capacity of servers.

mod load_headers;
mod speeds;
