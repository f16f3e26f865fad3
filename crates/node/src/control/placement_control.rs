//! Connects the request scheduler to the requests on the traffic threads.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{ErrorKind, MonoTime, ServerInstance, ServerName, VmOrdinal, ZoneName};
use dragonflycart_engine::LoadReport;
use dragonflycart_policy::{
    AttemptFailure, ColdSignal, PlacementDecision, PlacementRequest, PolicySettings,
    RequestScheduler, RequestTicket, ServerKey, ServerReport, ServerSpec, TokenProgress,
    UnknownPolicy, VmPosition,
};
use dragonflycart_settings::Config;
use tokio::sync::mpsc;

use crate::control::{LoadPollResult, PlacementGrant, PlacementNotice};

/// The request scheduler of this VM, and the requests that wait for its decisions.
pub(crate) struct PlacementControl {
    scheduler: RequestScheduler,
    ordinal_label: String,
    report_lag: Duration,
    servers: BTreeMap<ServerName, ServerKey>,
    names: BTreeMap<ServerKey, ServerName>,
    waiters: BTreeMap<RequestTicket, mpsc::UnboundedSender<PlacementNotice>>,
}

impl PlacementControl {
    /// Creates the scheduler with all configured backend servers.
    ///
    /// # Errors
    ///
    /// [`UnknownPolicy`] if the configured policy is not registered.
    pub(crate) fn new(
        config: &Config,
        position: VmPosition,
        settings: PolicySettings,
        now: MonoTime,
    ) -> Result<PlacementControl, UnknownPolicy> {
        let ordinal_label = format!("{}/{}", position.zone, position.ordinal);
        let scheduler = RequestScheduler::new(settings, position, now)?;
        let mut control = PlacementControl {
            scheduler,
            ordinal_label,
            report_lag: config.timeouts.report_lag,
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            waiters: BTreeMap::new(),
        };
        for (name, settings) in &config.engines {
            control.insert(ServerSpec {
                name: name.clone(),
                zone: settings.zone.clone(),
                service: None,
            });
        }
        for (name, settings) in &config.service_servers {
            control.insert(ServerSpec {
                name: name.clone(),
                zone: settings.zone.clone(),
                service: Some(settings.service.clone()),
            });
        }
        Ok(control)
    }

    fn insert(&mut self, spec: ServerSpec) {
        let name = spec.name.clone();
        let key = self.scheduler.insert_server(spec);
        self.servers.insert(name.clone(), key);
        self.names.insert(key, name);
    }

    /// Returns the scheduler, to change zone states and limits.
    pub(crate) fn scheduler_mut(&mut self) -> &mut RequestScheduler {
        &mut self.scheduler
    }

    /// Returns the scheduler.
    pub(crate) fn scheduler(&self) -> &RequestScheduler {
        &self.scheduler
    }

    /// Returns the configured servers by name.
    pub(crate) fn servers(&self) -> &BTreeMap<ServerName, ServerKey> {
        &self.servers
    }

    /// Submits a request. Decisions about it arrive on the returned channel.
    pub(crate) fn submit(
        &mut self,
        now: MonoTime,
        request: PlacementRequest,
    ) -> (RequestTicket, mpsc::UnboundedReceiver<PlacementNotice>) {
        let ticket = self.scheduler.submit(now, request);
        let (sender, notices) = mpsc::unbounded_channel();
        self.waiters.insert(ticket, sender);
        (ticket, notices)
    }

    /// Applies the progress of a running generation.
    pub(crate) fn progress(&mut self, now: MonoTime, progress: TokenProgress) {
        self.scheduler.progress(now, &[progress]);
    }

    /// Applies the successful end of a request.
    pub(crate) fn finished(&mut self, now: MonoTime, ticket: RequestTicket, tokens: u32) {
        self.waiters.remove(&ticket);
        self.scheduler.finished(now, ticket, tokens);
    }

    /// Applies a failed attempt. A later tick grants another server or rejects the request.
    pub(crate) fn failed(&mut self, now: MonoTime, ticket: RequestTicket, failure: AttemptFailure) {
        self.scheduler.failed(now, ticket, failure);
    }

    /// Cancels a request that the caller no longer wants.
    pub(crate) fn cancel(&mut self, now: MonoTime, ticket: RequestTicket) {
        self.waiters.remove(&ticket);
        self.scheduler.cancel(now, ticket);
    }

    /// Applies the result of a poll. A server that did not respond keeps its last report until the
    /// report is too old to be used.
    pub(crate) fn apply_load_poll(&mut self, now: MonoTime, poll: LoadPollResult) {
        let Some(key) = self.servers.get(&poll.server).copied() else {
            return;
        };
        let Some(report) = poll.report else {
            return;
        };
        // The reported state may be older than the request for it.
        let taken_at = poll.asked_at - self.report_lag;
        self.scheduler.report(now, key, server_report(report, taken_at));
    }

    /// Passes the scheduler's decisions to the waiting requests. Returns the requests that were
    /// granted a server (true) or were preempted (false), in order.
    pub(crate) fn tick(&mut self, now: MonoTime) -> Vec<(RequestTicket, bool)> {
        let mut changed = Vec::new();
        for decision in self.scheduler.tick(now) {
            match decision {
                PlacementDecision::Dispatch { ticket, server, instance, .. } => {
                    changed.push((ticket, true));
                    self.grant(now, ticket, server, instance);
                }
                PlacementDecision::Reject { ticket, kind } => self.end(ticket, kind, false),
                PlacementDecision::Cancel { ticket, kind, .. } => self.end(ticket, kind, true),
                PlacementDecision::Preempt { ticket, .. } => {
                    changed.push((ticket, false));
                    self.notify(ticket, PlacementNotice::Preempted);
                }
            }
        }
        changed
    }

    /// Applies a restart of a server that was noticed on a connection before a load report.
    pub(crate) fn instance_changed(&mut self, now: MonoTime, server: &ServerName) {
        if let Some(key) = self.servers.get(server).copied() {
            self.scheduler.signal(now, key, ColdSignal::InstanceChanged);
        }
    }

    fn grant(
        &mut self,
        now: MonoTime,
        ticket: RequestTicket,
        server: ServerKey,
        instance: ServerInstance,
    ) {
        let Some(name) = self.names.get(&server).cloned() else {
            return;
        };
        let ordinal = self.ordinal_label.clone();
        let grant = PlacementGrant { server: name, ordinal, instance };
        if !self.notify(ticket, PlacementNotice::Granted(grant)) {
            // The caller disconnected between the submission and the decision.
            self.cancel(now, ticket);
        }
    }

    fn end(&mut self, ticket: RequestTicket, kind: ErrorKind, running: bool) {
        let notice = if running {
            PlacementNotice::Cancelled(kind)
        } else {
            PlacementNotice::Rejected(kind)
        };
        self.notify(ticket, notice);
        self.waiters.remove(&ticket);
    }

    fn notify(&self, ticket: RequestTicket, notice: PlacementNotice) -> bool {
        self.waiters.get(&ticket).is_some_and(|waiter| waiter.send(notice).is_ok())
    }
}

/// Converts the report of a backend server. Ordinals that can't be parsed are left out, since they
/// belong to no VM of this deployment.
fn server_report(report: LoadReport, taken_at: MonoTime) -> ServerReport {
    let mut running_by_ordinal = Vec::new();
    for (label, count) in report.running_by_ordinal {
        let Some((zone, ordinal)) = label.rsplit_once('/') else {
            continue;
        };
        let (Ok(zone), Ok(ordinal)) = (ZoneName::new(zone), ordinal.parse()) else {
            continue;
        };
        running_by_ordinal.push((zone, VmOrdinal(ordinal), count));
    }
    ServerReport {
        taken_at,
        instance: report.instance,
        cold: report.cold,
        concurrency_limit: report.concurrency_limit,
        leaving: report.leaving,
        running: report.running,
        waiting: report.waiting,
        memory_used_tokens: report.memory_used_tokens,
        memory_total_tokens: report.memory_total_tokens,
        preemptions: report.preemptions,
        running_by_ordinal,
        loaded: report.loaded,
    }
}
