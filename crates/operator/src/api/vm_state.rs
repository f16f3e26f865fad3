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
    /// It has no plan yet and takes no work.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It was not heard for the peer silence period.
    #[serde(rename = "silent")]
    #[strum(serialize = "silent")]
    Unresponsive,
}
