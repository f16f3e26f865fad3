//! Identity of an entry VM.

use std::{fmt, net::SocketAddr};

use dragonflycart_core::{VmOrdinal, ZoneName};
use serde::{Deserialize, Serialize};

/// Identity of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmIdentity {
    /// Availability zone.
    pub zone: ZoneName,
    /// Ordinal within the zone.
    #[serde(rename = "seat")]
    pub ordinal: VmOrdinal,
    /// Incarnation of the process, in hexadecimal.
    pub incarnation: String,
    /// Address for other entry VMs.
    pub peer: SocketAddr,
    /// Address of the administration API, if known.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

impl fmt::Display for VmIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.ordinal)
    }
}
