//! Reads what is expected of many servers.

use std::{collections::btree_map, iter::Peekable};

use dragonflycart_core::MonoTime;

use crate::{ServerOutlook, server_estimate::ServerEstimate};

/// Reads what is expected of servers, fastest in ascending order of their keys. A placement reads
/// hundreds of servers, and a separate search for each would take most of its time.
#[derive(Debug)]
pub struct OutlookCursor<'a, K> {
    servers: &'a btree_map::BTreeMap<K, ServerEstimate>,
    median_log: f64,
    now: MonoTime,
    /// Servers from the last requested one on.
    rest: Peekable<btree_map::Range<'a, K, ServerEstimate>>,
    last: Option<K>,
}

impl<'a, K: Copy + Ord> OutlookCursor<'a, K> {
    pub(crate) fn new(
        servers: &'a btree_map::BTreeMap<K, ServerEstimate>,
        median_log: f64,
        now: MonoTime,
    ) -> OutlookCursor<'a, K> {
        OutlookCursor { servers, median_log, now, rest: servers.range(..).peekable(), last: None }
    }

    /// Returns what is expected of a server.
    pub fn outlook(&mut self, server: K) -> ServerOutlook {
        if self.last.is_some_and(|last| server < last) {
            self.rest = self.servers.range(server..).peekable();
        }
        self.last = Some(server);
        while self.rest.next_if(|(key, _)| **key < server).is_some() {}
        match self.rest.peek() {
            Some((key, estimate)) if **key == server => estimate.outlook(self.median_log, self.now),
            _ => ServerOutlook::default(),
        }
    }
}
