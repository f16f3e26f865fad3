//! Settings of the duties.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use strum::{Display, EnumString, IntoStaticStr};

/// Kind of call that one VM makes for the fleet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum DutyKind {
    /// Reports the requests of each team.
    UsageReport,
    /// Orders numbers of servers.
    Autoscale,
}

/// Settings of the calls to the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Calls that the fleet makes.
    pub duties: BTreeSet<DutyKind>,
    /// Most calls per second of the fleet.
    pub calls_per_s: f64,
    /// Lease time.
    pub lease: Duration,
    /// Length of a window of the usage reports.
    pub report_window: Duration,
    /// Time after the end of a window at which its report is due.
    pub report_due: Duration,
}
