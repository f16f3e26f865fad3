//! Times that bound the wait of a plain call.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Minimum remaining time to offer a call to a server.
const MIN_OFFER_TIME: Duration = Duration::from_millis(15);
/// Multiple of the usual latency that a call keeps to meet its latency target: its own run and a
/// wait of the same length in the server's queue.
const RESERVED_LATENCIES: u32 = 2;
/// Time that a call keeps in addition, for the interval at which the queue is served and for the
/// network.
const RESERVED_TIME: Duration = Duration::from_millis(20);

/// Times that bound the wait of a plain call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// Time at which the latency target is missed.
    pub late_at: MonoTime,
    /// Time from which the call is offered although no slot seems to be free. VMs see each other's
    /// load late, so a slot may be free that seems taken.
    pub offer_at: MonoTime,
    /// Time at which the call is refused, because a server could no longer answer it in time.
    pub end_at: MonoTime,
}

impl CallTimes {
    /// Returns the times of a call that was not offered to a server yet. It is offered while it can
    /// still meet its target. `usual` is the usual latency of the service, if it is known.
    pub fn new(
        arrived: MonoTime,
        deadline: MonoTime,
        target: Duration,
        usual: Option<Duration>,
    ) -> CallTimes {
        // A service that became slow must get calls to show that it recovered.
        let usual = usual.unwrap_or_default().min(target);
        CallTimes {
            late_at: arrived + target,
            offer_at: arrived + target.saturating_sub(usual * RESERVED_LATENCIES + RESERVED_TIME),
            end_at: deadline - usual.max(MIN_OFFER_TIME),
        }
    }

    /// Returns the times of a call that a server refused at `refused_at`. Until a latency target
    /// later it is offered only where a slot seems to be free, since each offer draws on the retry
    /// budget.
    pub fn after_refusal(self, refused_at: MonoTime, target: Duration) -> CallTimes {
        CallTimes { offer_at: refused_at + target, ..self }
    }
}
