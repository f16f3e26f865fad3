//! Check that no generation goes on at a runner while another one works on it.

use std::time::{Duration, Instant};

use dragonflycart_standins::{RunPart, WorkSpan};

/// Time for which two runners may work on a generation.
const OVERLAP_ALLOWED: Duration = Duration::from_millis(400);
/// Time after a disruption for which a gateway is out of touch and a runner counts as unreachable
/// (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Disruptions that excuse two runners at work on a generation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OverlapExcuses<'a> {
    /// Times for which the gateway that sent the request was killed or frozen.
    pub(crate) gateway: &'a [WorkSpan],
    /// Times for which no connection to a runner was possible, each with the runner's ID.
    pub(crate) unreachable: &'a [(String, WorkSpan)],
}

/// Returns what is wrong if a generation that has gone on at a runner is worked on by one before more
/// than 400 ms later, at a moment at which no disruption of the `contact_ms` before excuses it.
///
/// A stream of a resumable route may be started again while an earlier run of it still works, so only
/// the parts of one run are compared. Other requests must not be started twice, which is checked
/// separately.
pub(crate) fn find_overlap(parts: &[RunPart], excuses: OverlapExcuses<'_>) -> Option<String> {
    for (index, resumed) in parts.iter().enumerate() {
        if !resumed.is_resumed {
            continue;
        }
        let start = parts[..index].iter().rposition(|part| !part.is_resumed).unwrap_or(0);
        for before in &parts[start..index] {
            if before.runner == resumed.runner {
                continue;
            }
            let own = excuses.unreachable.iter().filter(|(runner, _)| *runner == before.runner);
            let disruptions: Vec<WorkSpan> =
                excuses.gateway.iter().chain(own.map(|(_, span)| span)).copied().collect();
            let first = resumed.work.start + OVERLAP_ALLOWED;
            if let Some(moment) = first_calm_moment(first, before.work.end, disruptions) {
                return Some(format!(
                    "goes on at {}, and {} works {} ms later, until {} ms",
                    resumed.runner,
                    before.runner,
                    (moment - resumed.work.start).as_millis(),
                    (before.work.end - resumed.work.start).as_millis(),
                ));
            }
        }
    }
    None
}

/// Returns the first moment after `first` and before `end` without a disruption in the `contact_ms`
/// before it.
fn first_calm_moment(
    first: Instant,
    end: Instant,
    mut disruptions: Vec<WorkSpan>,
) -> Option<Instant> {
    disruptions.sort_by_key(|disruption| disruption.start);
    let mut moment = first;
    for disruption in disruptions {
        let calm_at = disruption.end + CONTACT_TIME;
        if disruption.start <= moment && calm_at > moment {
            moment = calm_at;
        }
    }
    (moment < end).then_some(moment)
}
