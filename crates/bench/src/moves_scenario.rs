//! Scenarios of the version move experiment.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Scenario of the version move experiment.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MovesScenario {
    /// The new version has about the same rates as the old one.
    Good,
    /// The new version fails from its first request on.
    BadAtOnce,
    /// The new version begins to fail at a random time, possibly after the move is done.
    BadLater,
    /// The new version fails while it gets a high share of the traffic.
    BadUnderLoad,
    /// The new version fails on one route only.
    BadRoute,
    /// The new version is slow from the start; its failure rate is that of a good version.
    Slow,
    /// The new version is good; platform faults hit both versions.
    Unlucky,
    /// The new version is good, but gets too few requests to show it.
    LittleTraffic,
    /// One zone is cut off during the move; the new version is good.
    PartitionGood,
    /// One zone is cut off during the move; the new version is bad from the start or later.
    PartitionBad,
    /// The log service is down around the deadline; the new version is good.
    LogDownGood,
    /// The log service is down around the deadline; the new version is bad later.
    LogDownBad,
}

impl MovesScenario {
    /// Returns whether the new version is bad at some time.
    pub fn is_bad(self) -> bool {
        use MovesScenario::{BadAtOnce, BadLater, BadRoute, BadUnderLoad};
        use MovesScenario::{LogDownBad, PartitionBad, Slow};
        matches!(
            self,
            BadAtOnce | BadLater | BadRoute | BadUnderLoad | Slow | PartitionBad | LogDownBad
        )
    }
}
