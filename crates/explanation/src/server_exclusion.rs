//! Reasons for which a server is not a candidate.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// Reason for which a server is not a candidate for a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ServerExclusion {
    /// It is leaving.
    Leaving,
    /// Its zone is evacuated.
    EvacuatedZone,
    /// Its zone can't be reached from the VM.
    UnreachableZone,
    /// It is cold, and the VM has used its share of the requests that it tolerates.
    ColdLimit,
    /// It asked for a pause.
    PauseAsked,
    /// It is paused after it refused a request.
    PauseAfterRefusal,
    /// It is paused after a failed connection.
    PauseAfterConnection,
    /// The request would exceed the limit on its memory, or it has no free slot.
    Full,
    /// Its version gets no requests at this moment of a version move.
    VersionRole,
    /// It is in another zone and not in the random sample of the request.
    NotInSample,
}
