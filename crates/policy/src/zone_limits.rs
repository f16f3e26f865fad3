//! Concurrency limit of an availability zone.

use std::time::Duration;

use dragonflycart_core::{MonoTime, RendezvousScore, VmOrdinal, ZoneName, rendezvous_score};

/// Part of one zone's concurrency limit that belongs to one VM.
///
/// The concurrency limit applies to the sum over all VMs. It is divided among the ordinals: every
/// ordinal of the deployment gets the integer part of limit / ordinals, and the remainder goes to
/// the ordinals with the highest rendezvous scores. The parts add up to exactly the limit,
/// whichever VMs are running, without communication. The part of an ordinal without a VM is not
/// used.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneLimits {
    part: u32,
    open: bool,
    returned_at: Option<MonoTime>,
    running: u32,
}

impl ZoneLimits {
    /// Creates the state of a zone that is out of service and has no limit yet.
    pub fn new() -> ZoneLimits {
        ZoneLimits { part: 0, open: false, returned_at: None, running: 0 }
    }

    /// Computes the part of the limit that belongs to one ordinal.
    pub fn part_of_ordinal(
        zone: &ZoneName,
        limit: u32,
        ordinals: &[(ZoneName, VmOrdinal)],
        own: (&ZoneName, VmOrdinal),
    ) -> u32 {
        if ordinals.is_empty() {
            return limit;
        }
        let count = ordinals.len() as u32;
        let score_of = |ordinal: (&ZoneName, VmOrdinal)| -> RendezvousScore {
            // Every VM hashes this text. If it changed, VMs of different builds would disagree.
            let subject = [b"carry".as_slice(), zone.as_str().as_bytes()];
            rendezvous_score(&subject, format!("{}/{}", ordinal.0, ordinal.1).as_bytes())
        };
        let own_score = score_of(own);
        let mut ahead = 0;
        for (ordinal_zone, ordinal) in ordinals {
            let score = score_of((ordinal_zone, *ordinal));
            if (score, ordinal_zone, *ordinal) > (own_score, own.0, own.1) {
                ahead += 1;
            }
        }
        limit / count + u32::from(ahead < limit % count)
    }

    /// Applies the state of the zone in the plan. If `ramp` is set, a zone that opens ramps up;
    /// otherwise, as at the start of the VM, its whole limit applies at once.
    pub fn apply(&mut self, open: bool, part: u32, now: MonoTime, ramp: bool) {
        if open && !self.open {
            self.returned_at = ramp.then_some(now);
        }
        self.open = open;
        self.part = part;
    }

    /// Counts a dispatched request.
    pub fn add(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request.
    pub fn remove(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether the zone is in service.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns the number of running requests of this VM.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the share of the limit that is in effect, below 1 while the zone ramps up.
    pub fn ramp_share(&self, now: MonoTime, ramp: Duration) -> f64 {
        let Some(returned_at) = self.returned_at else {
            return 1.0;
        };
        (now.since(returned_at).as_secs_f64() / ramp.as_secs_f64()).min(1.0)
    }

    /// Returns whether this VM may send one more request into the zone.
    pub fn has_room(&self, now: MonoTime, ramp: Duration) -> bool {
        if !self.open {
            return false;
        }
        let Some(returned_at) = self.returned_at else {
            return self.running < self.part;
        };
        let passed = now.since(returned_at);
        if passed >= ramp {
            return self.running < self.part;
        }
        let share = passed.as_secs_f64() / ramp.as_secs_f64();
        self.running < (f64::from(self.part) * share) as u32
    }
}

impl Default for ZoneLimits {
    fn default() -> ZoneLimits {
        ZoneLimits::new()
    }
}
