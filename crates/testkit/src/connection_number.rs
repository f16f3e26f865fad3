//! Number of an accepted connection.

use std::fmt;

use axum::{extract::connect_info::Connected, serve::IncomingStream};
use serde::{Deserialize, Serialize};

use crate::FaultListener;

/// Number of an accepted connection. Each fake or relay counts its own from 0, in order of
/// acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConnectionNumber(pub u64);

impl fmt::Display for ConnectionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Connected<IncomingStream<'_, FaultListener>> for ConnectionNumber {
    fn connect_info(stream: IncomingStream<'_, FaultListener>) -> ConnectionNumber {
        *stream.remote_addr()
    }
}
