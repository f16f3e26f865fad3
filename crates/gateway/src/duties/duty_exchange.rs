//! Exchanges messages about the duties with the other VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dragonflycart_duties::{DutyMessage, HolderNews, UsageNews, UsageReceipt, WaitingCount};
use prost::Message;
use tokio::net::UdpSocket;
use tracing::{debug, info};

use super::{
    duty_clock::lease_time, duty_datagram, duty_decisions::DutyDecisions, lease_task, scale_task,
    usage_task, vm_duties::VmDuties,
};
use crate::{DutyKind, GatewayClock, GatewayContext};

/// Interval of messages. The loss of a VM costs what it counted since the last one.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which messages are sent to a holder after its last announcement.
const HOLDER_AGE: Duration = Duration::from_secs(5);

/// Sender and receiver of messages.
#[derive(Clone)]
pub(crate) struct DutyExchange {
    context: Arc<GatewayContext>,
    duties: Arc<VmDuties>,
    socket: Arc<UdpSocket>,
}

impl DutyExchange {
    /// Builds the exchange on the socket for datagrams between VMs, if the VM has duties.
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        socket: &Arc<UdpSocket>,
    ) -> Option<DutyExchange> {
        let duties = Arc::clone(context.duties.as_ref()?);
        Some(DutyExchange { context: Arc::clone(context), duties, socket: Arc::clone(socket) })
    }

    /// Starts the tasks of the duties.
    pub(crate) fn start(self) {
        let (context, duties) = (Arc::clone(&self.context), Arc::clone(&self.duties));
        if duties.cloud.duties.contains(&DutyKind::UsageReport) {
            tokio::spawn(usage_task::run(Arc::clone(&context), Arc::clone(&duties)));
        }
        if duties.cloud.duties.contains(&DutyKind::Autoscale) {
            tokio::spawn(scale_task::run(Arc::clone(&context), Arc::clone(&duties)));
        }
        tokio::spawn(lease_task::run(context, duties, self.clone()));
        tokio::spawn(self.run());
    }

    /// Sends messages for the lifetime of the process.
    async fn run(self) {
        loop {
            tokio::time::sleep(MESSAGE_INTERVAL).await;
            let (address, messages) = self.next_messages();
            self.announce().await;
            let Some(address) = address else { continue };
            for usage in messages {
                let message = DutyMessage { usage: Some(usage), ..DutyMessage::default() };
                self.send(&message, address).await;
            }
        }
    }

    /// Announces this VM to all others if it is the holder.
    pub(crate) async fn announce(&self) {
        let Some(news) = self.holder_news() else { return };
        let running = self.context.peers().running_addresses(self.context.clock.now());
        let message = DutyMessage { holder: Some(news), ..DutyMessage::default() };
        for address in running {
            self.send(&message, address).await;
        }
    }

    /// Applies a datagram. Returns false if it is another message.
    pub(crate) fn receive(&self, datagram: &[u8], sender: SocketAddr) -> bool {
        let Some(content) = duty_datagram::content(datagram) else { return false };
        let message = match DutyMessage::decode(content) {
            Ok(message) => message,
            Err(error) => {
                info!(%sender, %error, "duties: message not understood");
                return true;
            }
        };
        let now = lease_time(&self.context.clock);
        let mut decisions = self.duties.decisions();
        if let Some(news) = &message.holder {
            decisions.note_holder_news(news, sender, now);
        }
        if let Some(receipt) = &message.receipt {
            decisions.note_receipt(receipt, self.context.boot);
        }
        if let Some(usage) = &message.usage
            && decisions.note_usage(usage, now)
        {
            let receipt =
                UsageReceipt { number: usage.number, boot: usage.boot, sequence: usage.sequence };
            let answer = DutyMessage { receipt: Some(receipt), ..DutyMessage::default() };
            // A lost receipt makes the sender repeat its counts.
            if let Err(error) = self.socket.try_send_to(&duty_datagram::encode(&answer), sender) {
                debug!(%sender, %error, "duties: receipt not sent");
            }
        }
        true
    }

    /// Returns the address of the holder and the messages for it. Counts of the holder itself are
    /// applied at once; it sends a copy of them to another VM.
    fn next_messages(&self) -> (Option<SocketAddr>, Vec<UsageNews>) {
        let waiting = self.waiting();
        let running = self.context.peers().running_addresses(self.context.clock.now());
        let now = lease_time(&self.context.clock);
        let mut decisions = self.duties.decisions();
        let decisions: &mut DutyDecisions = &mut decisions;
        decisions.clock.note_time_of_day(now.boot, GatewayClock::unix_ms());
        let Some(own_ms) = decisions.clock.own_unix_ms(now.boot) else { return (None, Vec::new()) };
        let unix_ms = decisions.clock.unix_ms(now.boot).unwrap_or(own_ms);
        let frame = UsageNews {
            boot: self.context.boot,
            unix_ms: own_ms,
            zone: self.context.settings.zone.clone(),
            waiting,
            ..UsageNews::default()
        };
        let current = decisions.terms.window_at(unix_ms);
        if let Some(held) = &mut decisions.held {
            let last_window = decisions.lease.state().map_or(0, |state| state.last_window);
            decisions.counter.note_holder(held.number, last_window);
            for news in decisions.counter.messages(current, &frame) {
                held.windows.note_news(&news, now.boot);
                decisions.counter.note_receipt(news.number, news.sequence);
            }
            decisions.copies.note_holder(held.number, last_window);
            for news in decisions.copies.messages(held.number, &frame) {
                held.windows.note_news(&news, now.boot);
                decisions.copies.note_receipt(news.boot, news.number, news.sequence);
            }
            if let Some(fleet_ms) = held.windows.fleet_unix_ms(now.boot) {
                decisions.clock.note_fleet_time(now.boot, fleet_ms);
            }
            return held.copy_messages(&running, current, last_window, &frame);
        }
        let recent = decisions.holder.filter(|(.., at)| now.boot.since(*at) <= HOLDER_AGE);
        let Some((number, address, _)) = recent else { return (None, Vec::new()) };
        let mut messages = decisions.counter.messages(current, &frame);
        messages.extend(decisions.copies.messages(number, &frame));
        (Some(address), messages)
    }

    /// Returns the requests that wait at this VM for a service whose servers are ordered.
    fn waiting(&self) -> Vec<WaitingCount> {
        let Some(plan) = self.context.view().plan().cloned() else { return Vec::new() };
        let mut waiting = Vec::new();
        for service in plan.services.values().filter(|service| service.scaling.is_some()) {
            let requests = self.context.admission.table().queue.count(&service.name) as u32;
            if requests > 0 {
                waiting.push(WaitingCount { service: service.name.clone(), requests });
            }
        }
        waiting
    }

    fn holder_news(&self) -> Option<HolderNews> {
        let now = lease_time(&self.context.clock);
        let decisions = self.duties.decisions();
        let permit = decisions.lease.permit(now)?;
        Some(HolderNews {
            holder: self.context.settings.name.clone(),
            number: permit.number,
            log_end: decisions.lease.log_end()?,
            unix_ms: decisions.clock.unix_ms(now.boot).unwrap_or(0),
            last_window: decisions.lease.state().map_or(0, |state| state.last_window),
        })
    }

    async fn send(&self, message: &DutyMessage, address: SocketAddr) {
        if let Err(error) = self.socket.send_to(&duty_datagram::encode(message), address).await {
            debug!(%address, %error, "duties: message not sent");
        }
    }
}
