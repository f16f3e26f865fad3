//! Phase of an entry VM.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Phase of an entry VM.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM has no plan yet and accepts no work.
    Starting,
    /// The VM accepts work.
    Ready,
    /// The VM finishes its work and accepts no more.
    Draining,
    /// No heartbeat of the VM arrived within the timeout `peer_silence`.
    #[serde(rename = "silent")]
    #[strum(serialize = "silent")]
    Unresponsive,
}
