//! Kinds of backend servers.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Engine.
    Engine,
    /// Server of a plain service.
    Service,
}
