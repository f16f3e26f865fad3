//! Numbers of servers to order.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::MonoTime;

use crate::ScaleOrder;

/// Time for which a zone is observed before its first order. The servers and their loads become
/// known in it.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Share of the servers' memory in use above which more servers are ordered. The rest takes the
/// generations of engines that leave, of which a sixth is reclaimed at a time, and short bursts.
const HIGH_FILL: f64 = 0.70;
/// Share below which a server is given up. Well below the other one, so that the number does not
/// alternate.
const LOW_FILL: f64 = 0.50;
/// Time of low use before one server is given up. Longer than the bursts of demand, which come back
/// within some seconds, and than the time in which reclaimed engines are replaced.
const LOW_TIME: Duration = Duration::from_secs(8);
/// Time over which the growth of demand is measured.
const TREND_TIME: Duration = Duration::from_secs(2);
/// Greatest growth that is expected until new servers serve, as a share of the use. A steep rise is
/// rarely kept up.
const MAX_GROWTH: f64 = 0.6;
/// Time for which the number of servers is remembered. Reclaimed engines are replaced within it.
const PRESENT_TIME: Duration = Duration::from_secs(10);

/// Maximum time between two decisions. After a longer one, for example without the lease, the
/// demand in between is not known, and the observation begins anew.
const DECISION_GAP: Duration = Duration::from_secs(3);

/// Limits of a service's servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScaleBounds {
    /// Least number of servers per zone.
    pub min: u32,
    /// Greatest number of servers per zone.
    pub max: u32,
    /// Time from an order until a new server serves.
    pub boot_time: Duration,
}

/// Use of a service's servers in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneDemand {
    /// Servers that take work.
    pub servers: u32,
    /// Capacity of one server, in tokens of memory, or in requests for plain services.
    pub server_capacity: u64,
    /// Capacity in use, in the same unit.
    pub used: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the zone's VMs.
    pub waiting: u32,
}

/// State of one service in one zone.
#[derive(Debug, Clone, Default)]
struct ZoneScale {
    observed_since: Option<MonoTime>,
    /// Number that was ordered last, or that was there at the start.
    current: Option<u32>,
    /// Whether it was ordered.
    is_ordered: bool,
    /// Whether the platform may have accepted an order that it did not answer.
    is_uncertain: bool,
    present: VecDeque<(MonoTime, u32)>,
    used: VecDeque<(MonoTime, f64)>,
    low_since: Option<MonoTime>,
}

/// Decides on the numbers of servers.
#[derive(Debug, Clone, Default)]
pub struct ScaleControl {
    zones: BTreeMap<(String, String), ZoneScale>,
}

impl ScaleControl {
    /// Builds the state of a new holder from the orders of its predecessors.
    pub fn new(orders: &[ScaleOrder]) -> ScaleControl {
        let mut zones = BTreeMap::new();
        for order in orders {
            let state = ZoneScale {
                current: Some(order.desired),
                is_ordered: true,
                ..ZoneScale::default()
            };
            zones.insert((order.service.clone(), order.zone.clone()), state);
        }
        ScaleControl { zones }
    }

    /// Returns the number of servers to order, if it changes.
    pub fn decide(
        &mut self,
        service: &str,
        zone: &str,
        bounds: ScaleBounds,
        demand: ZoneDemand,
        now: MonoTime,
    ) -> Option<u32> {
        let state = self.zones.entry((service.to_owned(), zone.to_owned())).or_default();
        state.decide(bounds, demand, now)
    }

    /// Records that a zone is cut off or evacuated. It is observed anew afterwards.
    pub fn note_closed(&mut self, service: &str, zone: &str) {
        if let Some(state) = self.zones.get_mut(&(service.to_owned(), zone.to_owned())) {
            state.restart();
        }
    }

    /// Records that an order was not answered. The platform may have accepted it, so every decision
    /// orders a number until the platform accepts an order.
    pub fn note_unanswered(&mut self, order: &ScaleOrder) {
        let key = (order.service.clone(), order.zone.clone());
        let state = self.zones.entry(key).or_default();
        // After a rise, servers may be booting, so the higher number counts as the current one.
        state.current = state.current.max(Some(order.desired));
        state.is_uncertain = true;
    }

    /// Records that the platform accepted an order.
    pub fn note_ordered(&mut self, order: &ScaleOrder) {
        let key = (order.service.clone(), order.zone.clone());
        let state = self.zones.entry(key).or_default();
        state.current = Some(order.desired);
        state.is_ordered = true;
        state.is_uncertain = false;
        state.low_since = None;
    }
}

impl ZoneScale {
    /// Forgets the observed demand, but not the orders.
    fn restart(&mut self) {
        *self = ZoneScale {
            current: self.current.filter(|_| self.is_ordered || self.is_uncertain),
            is_ordered: self.is_ordered,
            is_uncertain: self.is_uncertain,
            ..ZoneScale::default()
        };
    }

    /// Returns the number to order, if it changes or the last order has no answer.
    fn decide(&mut self, bounds: ScaleBounds, demand: ZoneDemand, now: MonoTime) -> Option<u32> {
        if self.used.back().is_some_and(|(at, _)| now.since(*at) > DECISION_GAP) {
            self.restart();
        }
        self.present.push_back((now, demand.servers));
        while self.present.front().is_some_and(|(at, _)| now.since(*at) > PRESENT_TIME) {
            self.present.pop_front();
        }
        let used = expected_use(demand);
        self.used.push_back((now, used));
        while self.used.front().is_some_and(|(at, _)| now.since(*at) > TREND_TIME) {
            self.used.pop_front();
        }
        let since = *self.observed_since.get_or_insert(now);
        if now.since(since) < OBSERVATION_TIME || demand.server_capacity == 0 {
            return None;
        }
        let present = self.present.iter().map(|(_, servers)| *servers).max().unwrap_or(0);
        let current = *self.current.get_or_insert(present);
        let change = self.change(current, used, bounds, demand, now);
        change.or(self.is_uncertain.then_some(current))
    }

    /// Returns the number to order if it differs from `current`.
    fn change(
        &mut self,
        current: u32,
        used: f64,
        bounds: ScaleBounds,
        demand: ZoneDemand,
        now: MonoTime,
    ) -> Option<u32> {
        let capacity = demand.server_capacity as f64;
        let needed = (self.forecast(used, bounds.boot_time) / (capacity * HIGH_FILL)).ceil() as u32;
        let wanted = needed.max(bounds.min).min(bounds.max.max(bounds.min));
        if wanted > current {
            self.low_since = None;
            return Some(wanted);
        }
        let kept = (used / (capacity * LOW_FILL)).ceil() as u32;
        if kept.max(bounds.min) >= current || wanted >= current {
            self.low_since = None;
            return None;
        }
        let low_since = *self.low_since.get_or_insert(now);
        if now.since(low_since) < LOW_TIME {
            return None;
        }
        // The first order states what was there at the start, so a number that was seen too low does
        // no harm.
        Some(if self.is_ordered { current - 1 } else { current })
    }

    /// Returns the use that is expected once a server that is ordered now serves.
    fn forecast(&self, used: f64, boot_time: Duration) -> f64 {
        let (Some((first_at, first)), Some((last_at, last))) =
            (self.used.front(), self.used.back())
        else {
            return used;
        };
        let span_s = last_at.since(*first_at).as_secs_f64();
        // A trend over a shorter time is mostly noise.
        if span_s < TREND_TIME.as_secs_f64() / 2.0 {
            return used;
        }
        let growth = (last - first) / span_s * boot_time.as_secs_f64();
        used + growth.clamp(0.0, used * MAX_GROWTH)
    }
}

/// Returns the use with that of the waiting requests, each as large as those that run.
fn expected_use(demand: ZoneDemand) -> f64 {
    let used = demand.used as f64;
    if demand.running == 0 {
        return used;
    }
    used + f64::from(demand.waiting) * used / f64::from(demand.running)
}
