//! Decides whether the VM admits a request.

use std::{collections::BTreeMap, time::Duration};

use strum::IntoEnumIterator;

use super::{LoadChange, RefusalReason, TimerDelay};

/// Fraction of the process's memory for requests that wait, without their bodies.
const WAITING_FRACTION: f64 = 0.15;
/// Memory of a waiting request, in bytes: its connection's buffers, its task and its headers. This
/// is an assumption, not a measured figure.
const WAITING_BYTES: f64 = 64.0 * 1024.0;
/// Number of waiting requests for each core. Each takes up to half a millisecond of processor time
/// per second while it waits, and the same again when it is answered. This time is an assumption,
/// not a measured figure.
const WAITING_PER_CORE: f64 = 2_000.0;
/// Minimum bound on the number of waiting requests.
const MIN_WAITING: usize = 32;
/// Fraction of the bound below which requests are admitted again.
const ADMITTED_FRACTION: f64 = 0.9;
/// `Retry-After` time if other VMs run: a repeated request probably reaches one of them. Callers
/// wait for up to a third of their remaining time, which is 400 ms for the shortest time limit of a
/// plain call, 1.2 s.
const OTHER_VM_RETRY: Duration = Duration::from_millis(300);

/// Load of a VM, and the bounds on it.
#[derive(Debug, Clone)]
pub struct VmLoad {
    delay: TimerDelay,
    waiting: usize,
    waiting_bound: usize,
    /// Reasons to refuse new requests, with the number of requests refused so far.
    refused: BTreeMap<RefusalReason, u64>,
}

impl VmLoad {
    /// Builds the load of an idle VM with `memory_bytes` of memory and `cpu_share` cores.
    pub fn new(memory_bytes: usize, cpu_share: f64) -> VmLoad {
        let by_memory = memory_bytes as f64 * WAITING_FRACTION / WAITING_BYTES;
        let by_processor = cpu_share * WAITING_PER_CORE;
        let waiting_bound = (by_memory.min(by_processor) as usize).max(MIN_WAITING);
        VmLoad { delay: TimerDelay::default(), waiting: 0, waiting_bound, refused: BTreeMap::new() }
    }

    /// Returns the maximum number of waiting requests.
    pub fn waiting_bound(&self) -> usize {
        self.waiting_bound
    }

    /// Returns the number of requests that wait for the head of their response.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the delay of the process's timers.
    pub fn delay(&self) -> &TimerDelay {
        &self.delay
    }

    /// Records that a timer of `interval` ended `delay` too late. Returns what changes.
    pub fn note_delay(&mut self, interval: Duration, delay: Duration) -> Vec<LoadChange> {
        self.delay.note(interval, delay);
        self.update()
    }

    /// Records that a request begins to wait. Returns what changes.
    pub fn note_waiting(&mut self) -> Vec<LoadChange> {
        self.waiting += 1;
        self.update()
    }

    /// Records that a request no longer waits. Returns what changes.
    pub fn note_answered(&mut self) -> Vec<LoadChange> {
        self.waiting = self.waiting.saturating_sub(1);
        self.update()
    }

    /// Decides about a new request. Returns the reason if it is refused.
    pub fn refuse(&mut self) -> Option<RefusalReason> {
        let (reason, refused) = self.refused.iter_mut().next()?;
        *refused += 1;
        Some(*reason)
    }

    /// Returns the reason for which a new request would be refused, without counting a refusal.
    pub fn refusal_reason(&self) -> Option<RefusalReason> {
        self.refused.keys().next().copied()
    }

    /// Returns the time after which a refused request probably is admitted, in a fleet of `vms`.
    pub fn retry_time(&self, vms: usize) -> Duration {
        if vms > 1 { OTHER_VM_RETRY } else { self.delay.recovery_time().max(OTHER_VM_RETRY) }
    }

    fn update(&mut self) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        for reason in RefusalReason::iter() {
            let was_refusing = self.refused.contains_key(&reason);
            let is_refusing = match reason {
                RefusalReason::LateTimers => self.delay.is_overloaded(),
                RefusalReason::ManyWaiting if was_refusing => {
                    self.waiting as f64 > self.waiting_bound as f64 * ADMITTED_FRACTION
                }
                RefusalReason::ManyWaiting => self.waiting >= self.waiting_bound,
            };
            if is_refusing && !was_refusing {
                self.refused.insert(reason, 0);
                changes.push(LoadChange::Begins(reason));
            } else if !is_refusing && let Some(refused) = self.refused.remove(&reason) {
                changes.push(LoadChange::Ends { reason, refused });
            }
        }
        changes
    }
}
