//! A backend server as seen by an entry VM.

use std::{collections::BTreeSet, net::SocketAddr};

use dragonflycart_core::{ModelName, ServerName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::api::BackendKind;

/// A backend server as seen by the VM that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Name.
    pub name: ServerName,
    /// Kind.
    pub kind: BackendKind,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address.
    pub address: SocketAddr,
    /// State in one word, as the daemon names it: `cold`, `ramping`, `warm`, `leaving` or
    /// `unreachable`.
    pub state: String,
    /// Concurrent requests of this VM.
    pub running: u32,
    /// Concurrent requests that this VM may have there now.
    pub limit: u32,
    /// Age of the last load report in milliseconds, if there is one.
    #[serde(default)]
    pub report_ms_ago: Option<u64>,
    /// Loaded model versions, for engines.
    #[serde(default)]
    pub versions: BTreeSet<(ModelName, VersionName)>,
}
