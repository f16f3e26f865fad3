//! State of a backend server, as an entry VM sees it.

use std::{collections::BTreeSet, net::SocketAddr};

use dragonflycart_core::{ModelName, ServerName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::api::BackendKind;

/// State of a backend server, as the responding VM sees it.
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
    /// State: `cold`, `ramping`, `warm`, `leaving` or `unreachable`.
    pub state: String,
    /// Concurrent requests of the responding VM on this server.
    pub running: u32,
    /// Current limit on the concurrent requests of the responding VM on this server.
    pub limit: u32,
    /// Age of the last load report in milliseconds, if there is one.
    #[serde(default)]
    pub report_ms_ago: Option<u64>,
    /// Loaded model versions, for engines.
    #[serde(default)]
    pub versions: BTreeSet<(ModelName, VersionName)>,
}
