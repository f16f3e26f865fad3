//! Exchanges what VMs know about parts of prompts that crash engines.
//!
//! Every VM passes on all that it knows, also what it heard from others: the VMs that saw the
//! crashes may have ended since. Reports go to all VMs, or to some of a large fleet, when something
//! changes, to a few at intervals, and to a VM that has just started.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dragonflycart_containment::SuspectReport;
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tracing::info;

use crate::{
    GatewayContext,
    containment::{evidence, suspect_datagram},
    peer_table::SMALL_FLEET,
};

/// Minimum time between two reports of changes.
const CHANGE_SPACING: Duration = Duration::from_millis(50);
/// Interval of reports without a change.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of VMs that get a report without a change.
const INTERVAL_RECIPIENTS: usize = 2;
/// Number of VMs of a large fleet that get a report of a change. They pass it on.
const CHANGE_RECIPIENTS: usize = 8;

/// Sender and receiver of reports.
pub(crate) struct EvidenceExchange {
    context: Arc<GatewayContext>,
    socket: Arc<UdpSocket>,
}

impl EvidenceExchange {
    /// Builds the exchange on the socket for datagrams between VMs.
    pub(crate) fn new(context: &Arc<GatewayContext>, socket: &Arc<UdpSocket>) -> EvidenceExchange {
        EvidenceExchange { context: Arc::clone(context), socket: Arc::clone(socket) }
    }

    /// Sends reports for the lifetime of the process.
    pub(crate) async fn run(self) {
        loop {
            tokio::select! {
                () = self.context.evidence_changes.notified() => {
                    self.send(usize::MAX).await;
                    tokio::time::sleep(CHANGE_SPACING).await;
                }
                () = tokio::time::sleep(REPORT_INTERVAL) => {
                    let changes = self.context.crashes().expire(self.context.clock.now());
                    evidence::publish(&self.context, &changes, None);
                    self.send(INTERVAL_RECIPIENTS).await;
                }
            }
        }
    }

    /// Sends a report to up to `count` running VMs.
    async fn send(&self, count: usize) {
        if self.context.crashes().is_empty() {
            return;
        }
        let running = self.context.peers().running_addresses(self.context.clock.now());
        let limit = if running.len() >= SMALL_FLEET { CHANGE_RECIPIENTS } else { running.len() };
        let recipients: Vec<SocketAddr> =
            running.sample(&mut rand::rng(), count.min(limit)).copied().collect();
        for address in recipients {
            self.send_to(address).await;
        }
    }

    /// Sends a report to one VM, for example one that has just started.
    pub(crate) async fn send_to(&self, address: SocketAddr) {
        let records = {
            let crashes = self.context.crashes();
            if crashes.is_empty() {
                return;
            }
            crashes.records(self.context.clock.now())
        };
        let bytes = suspect_datagram::encode(self.context.boot, &records);
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            tracing::debug!(%address, %error, "prompts: report not sent");
        }
    }

    /// Applies a datagram. Returns false if it is another message.
    pub(crate) fn receive(&self, datagram: &[u8], sender: SocketAddr) -> bool {
        let Some(content) = suspect_datagram::content(datagram) else { return false };
        let report = match SuspectReport::decode(content) {
            Ok(report) => report,
            Err(error) => {
                info!(%sender, %error, "prompts: report not understood");
                return true;
            }
        };
        if report.boot == self.context.boot {
            return true;
        }
        let records = report.records();
        let now = self.context.clock.now();
        let changes = self.context.crashes().merge(&records, now);
        evidence::publish(&self.context, &changes, Some(&sender.to_string()));
        true
    }
}
