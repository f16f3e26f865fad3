//! Gives free slots to waiting plain calls.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::oneshot;

use super::{CallId, CallQueue, WaitingCall, slot_placement};
use crate::{GatewayContext, ServerReservation};

/// Interval at which waiting calls are served without a completion: a pause of a server may end, a
/// report of a peer or of the server expire, or a call become due.
const SERVE_INTERVAL: Duration = Duration::from_millis(10);

/// What a waiting call gets.
pub(super) enum CallResult {
    /// A server is reserved.
    Placed(ServerReservation),
    /// No server can answer in time anymore.
    OutOfTime,
}

#[derive(Default)]
struct ServiceCalls {
    queue: CallQueue,
    results: BTreeMap<CallId, oneshot::Sender<CallResult>>,
}

#[derive(Default)]
struct DispatcherState {
    /// Calls by service. Services stay, so that no ID is used twice.
    services: BTreeMap<String, ServiceCalls>,
    /// Whether a task serves the calls at intervals.
    has_timer: bool,
}

impl DispatcherState {
    fn has_waiting_calls(&self) -> bool {
        self.services.values().any(|calls| !calls.queue.is_empty())
    }
}

/// Waiting plain calls of all services.
#[derive(Default)]
pub struct CallDispatcher {
    state: Mutex<DispatcherState>,
}

/// Entry of a waiting call. It is removed on drop, also when the call's task is cancelled because
/// the caller disconnected.
pub(super) struct CallEntry<'a> {
    context: &'a GatewayContext,
    service: &'a str,
    id: CallId,
}

impl Drop for CallEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.context.plain_calls.lock();
        let Some(calls) = state.services.get_mut(self.service) else { return };
        calls.queue.remove(self.id);
        if calls.results.remove(&self.id).is_some() {
            self.context.metrics.waiting_calls.dec();
        }
    }
}

impl CallDispatcher {
    /// Returns the number of calls that wait for a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.lock().services.get(service).map_or(0, |calls| calls.queue.len())
    }

    /// Adds a call and serves it at once if possible.
    pub(super) fn enqueue<'a>(
        &self,
        context: &'a Arc<GatewayContext>,
        service: &'a str,
        call: WaitingCall,
    ) -> (CallEntry<'a>, oneshot::Receiver<CallResult>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let calls = state.services.entry(service.to_owned()).or_default();
        let id = calls.queue.enqueue(call);
        calls.results.insert(id, sender);
        context.metrics.waiting_calls.inc();
        drop(state);
        self.serve(context);
        let mut state = self.lock();
        if state.has_waiting_calls() && !state.has_timer {
            state.has_timer = true;
            tokio::spawn(serve_at_intervals(Arc::clone(context)));
        }
        drop(state);
        (CallEntry { context, service, id }, receiver)
    }

    /// Serves the waiting calls of all services. Called after each change that may have freed a
    /// slot, without a lock on the view.
    pub(crate) fn serve(&self, context: &Arc<GatewayContext>) {
        let mut state = self.lock();
        let now = context.clock.now();
        // Released after the locks, since their release serves the waiting calls again.
        let mut unwanted = Vec::new();
        for (service, calls) in &mut state.services {
            if calls.queue.is_empty() {
                continue;
            }
            let served = slot_placement::serve(&mut calls.queue, &mut context.view(), service, now);
            for (id, placement) in served.placed {
                let reservation = ServerReservation::new(context, placement);
                unwanted.extend(calls.send(context, id, CallResult::Placed(reservation)));
            }
            for id in served.refused {
                unwanted.extend(calls.send(context, id, CallResult::OutOfTime));
            }
        }
        drop(state);
        drop(unwanted);
    }

    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().expect("no decision panics while it holds the waiting calls")
    }
}

impl ServiceCalls {
    /// Sends the result of a call. Returns it if the call's task has ended.
    fn send(
        &mut self,
        context: &GatewayContext,
        id: CallId,
        result: CallResult,
    ) -> Option<CallResult> {
        let Some(sender) = self.results.remove(&id) else { return Some(result) };
        context.metrics.waiting_calls.dec();
        sender.send(result).err()
    }
}

/// Serves the waiting calls at intervals until none waits.
async fn serve_at_intervals(context: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(SERVE_INTERVAL).await;
        context.plain_calls.serve(&context);
        let mut state = context.plain_calls.lock();
        if !state.has_waiting_calls() {
            state.has_timer = false;
            return;
        }
    }
}
