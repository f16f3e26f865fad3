//! The command `status`.

use dragonflycart_core::WallTime;

use crate::{
    AdminClient, Console, ExitStatus, TextTable,
    api::{MoveStatus, StatusResponse},
    time_text::format_time,
};

/// Shows the status of the deployment, as the first VM that responds knows it.
pub(crate) async fn show_status(
    console: &mut Console<'_>,
    client: &AdminClient,
    now: fn() -> WallTime,
) -> ExitStatus {
    let status = match console.run_with_progress("waiting for the status", client.status()).await {
        Ok(status) => status,
        Err(error) => return console.report_failure(&error),
    };
    console.value(&status);
    let log = if status.log_reachable { "reachable" } else { "NOT REACHABLE" };
    console.line(&format!(
        "VM {} ({}), {}, plan revision {}, log service {log}, asked at {}\n",
        status.vm,
        status.vm.peer,
        status.state,
        status.plan_revision,
        format_time(now())
    ));
    console.table("availability zones", &zone_table(&status));
    console.table("backend servers", &backend_table(&status));
    console.table("entry VMs", &member_table(&status));
    console.table("version moves", &move_table(&status.moves));
    ExitStatus::Done
}

fn zone_table(status: &StatusResponse) -> TextTable {
    let mut table = TextTable::new(&["ZONE", "STATE", "SOURCE", "CARRIES", "RAMP", "RUNNING"]);
    for (zone, zone_status) in &status.zones {
        table.push([
            zone.to_string(),
            zone_status.state.to_string(),
            if zone_status.overridden { "latch" } else { "plan" }.to_owned(),
            zone_status.concurrency_limit.to_string(),
            format!("{:.0}%", zone_status.ramp * 100.0),
            zone_status.running.to_string(),
        ]);
    }
    table
}

fn backend_table(status: &StatusResponse) -> TextTable {
    let mut table = TextTable::new(&[
        "SERVER", "KIND", "ZONE", "ADDRESS", "STATE", "RUNNING", "LIMIT", "REPORT", "VERSIONS",
    ]);
    for backend in &status.backends {
        let versions: Vec<_> =
            backend.versions.iter().map(|(model, version)| format!("{model} {version}")).collect();
        table.push([
            backend.name.to_string(),
            backend.kind.to_string(),
            backend.zone.to_string(),
            backend.address.to_string(),
            backend.state.clone(),
            backend.running.to_string(),
            backend.limit.to_string(),
            backend.report_ms_ago.map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago")),
            versions.join(", "),
        ]);
    }
    table
}

fn member_table(status: &StatusResponse) -> TextTable {
    let mut table = TextTable::new(&["VM", "ADDRESS", "STATE", "REVISION", "BEHIND", "HEARD"]);
    for member in &status.members {
        let behind = status.plan_revision.0.saturating_sub(member.plan_revision.0);
        table.push([
            member.vm.to_string(),
            member.vm.peer.to_string(),
            member.state.to_string(),
            member.plan_revision.to_string(),
            behind.to_string(),
            format!("{} ms ago", member.heard_ms_ago),
        ]);
    }
    table
}

/// Returns a table of version moves.
pub(crate) fn move_table(moves: &[MoveStatus]) -> TextTable {
    let mut table = TextTable::new(&[
        "MOVE", "MODEL", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "BAD", "REASON",
    ]);
    for status in moves {
        let sum = |count: fn(&crate::api::RouteEvidence) -> u64| -> u64 {
            status.evidence.iter().map(count).sum()
        };
        let (bad, served) = (sum(|route| route.new_bad), sum(|route| route.new_requests));
        table.push([
            status.id.to_string(),
            status.plan.model.to_string(),
            status.plan.from.to_string(),
            status.plan.to.to_string(),
            status.state.to_string(),
            format!("{:.0}%", status.share * 100.0),
            format_time(status.plan.deadline),
            format!("{bad} of {served}"),
            status.reason.clone().unwrap_or_else(|| "-".to_owned()),
        ]);
    }
    table
}
