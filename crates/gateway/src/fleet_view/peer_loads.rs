//! Loads that the peers reported on one server.

use std::{cell::Cell, collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::ServerLoad;

/// Maximum age of a load that a peer reported.
const PEER_LOAD_AGE: Duration = Duration::from_secs(3);
/// Remaining validity of the sum below which a report renews it. Otherwise, the sums of many
/// servers could expire between two reports, and one placement would have to compute them all.
const RENEWAL_MARGIN: Duration = Duration::from_millis(300);
/// Time for which an outdated load is kept. A VM that restarts reports under another ID, so its
/// earlier load is never replaced.
const OUTDATED_KEPT: Duration = Duration::from_secs(3);

/// Sum of the loads that are not outdated. It holds at all times later than `after` up to and
/// including `until`.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSum {
    load: ServerLoad,
    peers: usize,
    /// Latest end of the validity of a load that is left out, or `None` if none is left out.
    after: Option<MonoTime>,
    /// Earliest end of the validity of a load that is included, or `None` if none is included.
    until: Option<MonoTime>,
}

impl LoadSum {
    fn is_valid(&self, now: MonoTime) -> bool {
        self.after.is_none_or(|after| now > after) && self.until.is_none_or(|until| now <= until)
    }

    fn includes(&self, valid_until: MonoTime) -> bool {
        self.after.is_none_or(|after| valid_until > after)
    }

    fn add(&mut self, load: ServerLoad, valid_until: MonoTime) {
        self.load += load;
        self.peers += 1;
        self.until = Some(self.until.map_or(valid_until, |until| until.min(valid_until)));
    }
}

/// Loads that the peers reported on one server. Their sum is kept, since each placement needs it
/// for each server.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLoads {
    /// Load of each peer and the time until which it is valid.
    loads: BTreeMap<u64, (MonoTime, ServerLoad)>,
    sum: Cell<LoadSum>,
}

impl PeerLoads {
    /// Records a peer's load in place of its earlier one.
    pub(crate) fn note(&mut self, peer: u64, load: ServerLoad, now: MonoTime) {
        self.clear(peer);
        let valid_until = now + PEER_LOAD_AGE;
        self.loads.insert(peer, (valid_until, load));
        let sum = self.sum.get_mut();
        if sum.includes(valid_until) {
            sum.add(load, valid_until);
        }
        if sum.until.is_some_and(|until| until < now + RENEWAL_MARGIN) {
            self.loads.retain(|_, (valid_until, _)| *valid_until + OUTDATED_KEPT >= now);
            self.renew(now);
        }
    }

    /// Removes a peer's load.
    pub(crate) fn clear(&mut self, peer: u64) {
        let Some((valid_until, load)) = self.loads.remove(&peer) else { return };
        let sum = self.sum.get_mut();
        if sum.includes(valid_until) {
            sum.load -= load;
            sum.peers -= 1;
        }
    }

    /// Returns the sum of the loads that are not outdated.
    pub(crate) fn total(&self, now: MonoTime) -> ServerLoad {
        self.sum_at(now).load
    }

    /// Returns the number of peers whose load is not outdated.
    pub(crate) fn count(&self, now: MonoTime) -> usize {
        self.sum_at(now).peers
    }

    /// Returns the ages of the loads that are not outdated.
    pub(crate) fn ages(&self, now: MonoTime) -> impl Iterator<Item = Duration> {
        let valid_until = self.loads.values().map(|(valid_until, _)| *valid_until);
        valid_until
            .filter(move |valid_until| now <= *valid_until)
            .map(move |valid_until| PEER_LOAD_AGE.saturating_sub(valid_until.since(now)))
    }

    /// Returns the number of loads that are kept, including outdated ones.
    pub(crate) fn kept(&self) -> usize {
        self.loads.len()
    }

    fn sum_at(&self, now: MonoTime) -> LoadSum {
        let sum = self.sum.get();
        if sum.is_valid(now) { sum } else { self.renew(now) }
    }

    fn renew(&self, now: MonoTime) -> LoadSum {
        let mut sum = LoadSum::default();
        for (valid_until, load) in self.loads.values() {
            if now <= *valid_until {
                sum.add(*load, *valid_until);
            } else {
                sum.after = sum.after.max(Some(*valid_until));
            }
        }
        self.sum.set(sum);
        sum
    }
}
