//! Recipients of a VM's report.

use std::net::SocketAddr;

/// Addresses to which a report is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReportRecipients {
    /// VMs that get the report for themselves.
    pub direct: Vec<SocketAddr>,
    /// VMs of other zones, one for each, that relay the report within their zone.
    pub relays: Vec<SocketAddr>,
}
