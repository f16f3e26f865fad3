//! The commands `moves list` and `moves follow`.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MoveId;
use tokio::time::sleep;

use crate::{
    AdminClient, Console, ExitStatus,
    api::{MoveState, MoveStatus},
    status_command::move_table,
    time_text::format_time,
};

/// Interval at which the state of moves is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed polls after which following the moves is given up.
const MAX_FAILED_POLLS: u32 = 30;

/// Lists all moves.
pub(crate) async fn list_moves(console: &mut Console<'_>, client: &AdminClient) -> ExitStatus {
    match console.run_with_progress("waiting for the moves", client.moves()).await {
        Ok(response) => {
            console.value(&response);
            console.table("version moves", &move_table(&response.moves));
            ExitStatus::Done
        }
        Err(error) => console.report_failure(&error),
    }
}

/// Reports each change of the moves, or of one of them, until all have ended.
pub(crate) async fn follow_moves(
    console: &mut Console<'_>,
    client: &AdminClient,
    only: Option<&str>,
) -> ExitStatus {
    let mut seen: BTreeMap<MoveId, (MoveState, u32)> = BTreeMap::new();
    let mut failed_polls = 0;
    loop {
        let moves = match client.moves().await {
            Ok(response) => response.moves,
            Err(error) => {
                failed_polls += 1;
                if failed_polls >= MAX_FAILED_POLLS || !error.is_transient() {
                    return console.report_failure(&error);
                }
                console.diagnostic(&format!("retrying: {error}"));
                sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        failed_polls = 0;
        let followed: Vec<_> =
            moves.iter().filter(|status| only.is_none_or(|only| status.id.0 == only)).collect();
        if followed.is_empty() {
            console.diagnostic("no such move in the active plan");
            return ExitStatus::Usage;
        }
        for status in &followed {
            report_change(console, &mut seen, status);
        }
        // Only moves of the current response count: a later plan may drop one that has not ended.
        let states: Vec<_> =
            followed.iter().filter_map(|status| seen.get(&status.id)).map(|last| last.0).collect();
        if states.iter().all(|state| state.is_final()) {
            let rolled_back = states.contains(&MoveState::RolledBack);
            return if rolled_back { ExitStatus::RolledBack } else { ExitStatus::Done };
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reports a move whose state or share has changed. Responses may come from different VMs, one of
/// which may lag, so an earlier state is not reported after a later one.
fn report_change(
    console: &mut Console<'_>,
    seen: &mut BTreeMap<MoveId, (MoveState, u32)>,
    status: &MoveStatus,
) {
    let percent = (status.share * 100.0).round() as u32;
    let current = (status.state, percent);
    match seen.get(&status.id) {
        Some(last) if *last == current || last.0 > current.0 => return,
        _ => {}
    }
    seen.insert(status.id.clone(), current);
    console.value(status);
    let ended = status.ended_at.map(|time| format!(" at {}", format_time(time)));
    let reason = status.reason.as_ref().map(|reason| format!(": {reason}"));
    console.line(&format!(
        "{} {} {} to {}: {}{}, {percent}% on the new version{}",
        status.id,
        status.plan.model,
        status.plan.from,
        status.plan.to,
        status.state,
        ended.unwrap_or_default(),
        reason.unwrap_or_default()
    ));
}
