//! Giving way to more urgent requests of other VMs.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Maximum time for which a request leaves room unused. The VMs of the more urgent requests look for
/// room every 20 ms; what they have not taken after three attempts they can't use.
const GIVE_WAY_TIME: Duration = Duration::from_millis(60);

/// Whether one request leaves the room that it found to more urgent requests of other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GiveWay {
    since: Option<MonoTime>,
}

impl GiveWay {
    /// Returns whether a request that needs `own_tokens` leaves the room to others for now, which
    /// need `urgent_share`. The time for which it does so begins anew when the room is gone: the
    /// others took it.
    pub fn gives_way(
        &mut self,
        own_tokens: u64,
        urgent_share: u64,
        room_tokens: u64,
        now: MonoTime,
    ) -> bool {
        let is_scarce = room_tokens >= own_tokens && room_tokens - own_tokens < urgent_share;
        if !is_scarce {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        now.since(since) < GIVE_WAY_TIME
    }
}
