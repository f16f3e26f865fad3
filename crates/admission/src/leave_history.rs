//! Engine memory that left lately, and the room to keep free for more of it.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Time for which a leave counts. Engines may leave every few seconds.
const HISTORY_TIME: Duration = Duration::from_secs(10);
/// Time within which leaving engines need room at the same time. Engines announce their shutdown
/// about two seconds ahead.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Maximum fraction of the memory to keep free. Generations run for seconds, so more room would cost
/// more of them than the moves save.
const MOVE_ROOM_LIMIT: f64 = 0.25;

/// Memory in use on engines when these were found to leave.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaveHistory {
    /// Times and tokens, in order of time.
    leaves: Vec<(MonoTime, u64)>,
}

impl LeaveHistory {
    /// Builds the history of the leaves that still count.
    pub fn recent(leaves: impl Iterator<Item = (MonoTime, u64)>, now: MonoTime) -> LeaveHistory {
        let mut leaves: Vec<_> = leaves.filter(|(at, _)| now.since(*at) <= HISTORY_TIME).collect();
        leaves.sort_unstable();
        LeaveHistory { leaves }
    }

    /// Returns the fraction of the engines' memory to keep free for generations that move, where
    /// `capacity` is the memory of the engines that stay, in tokens. It is the most memory that left
    /// within the time of one notice, which is what has to find room at the same time. It is
    /// called for each placement, so it takes linear time in the number of leaves.
    pub fn move_room(&self, capacity: u64) -> f64 {
        let (mut most, mut together, mut first) = (0_u64, 0_u64, 0);
        for (at, tokens) in &self.leaves {
            while at.since(self.leaves[first].0) > NOTICE_TIME {
                together = together.saturating_sub(self.leaves[first].1);
                first += 1;
            }
            together = together.saturating_add(*tokens);
            most = most.max(together);
        }
        if most == 0 { 0.0 } else { (most as f64 / capacity as f64).min(MOVE_ROOM_LIMIT) }
    }
}
