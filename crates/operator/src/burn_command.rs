//! The command `burn`.

use std::{collections::BTreeSet, net::SocketAddr, path::Path};

use dragonflycart_burn::BurnSnapshot;
use tokio::task::JoinSet;

use crate::{
    AdminClient, AdminError, BurnPage, BurnReportBuilder, Console, ExitStatus,
    api::{StatusResponse, VmState},
};

/// Address of a VM and its responses.
type VmResponse = (SocketAddr, Result<(BurnSnapshot, StatusResponse), AdminError>);

/// Reports on the objectives over all VMs: those given on the command line and all members that
/// they know.
pub(crate) async fn run_burn(
    console: &mut Console<'_>,
    client: &AdminClient,
    page: Option<&Path>,
) -> ExitStatus {
    let collected =
        console.run_with_progress("waiting for the counts of the VMs", collect(client)).await;
    let builder = match collected {
        Ok(builder) => builder,
        Err(error) => return console.report_failure(&error),
    };
    let report = builder.into_report();
    console.value(&report);
    for line in report.coverage() {
        console.line(&line);
    }
    console.table("\nobjectives", &report.figure_table());
    console.table("worst over the last 6 h", &report.worst_table());
    if let Some(path) = page
        && let Err(error) = std::fs::write(path, BurnPage::new(&report).render())
    {
        console.diagnostic(&format!("{} can't be written: {error}", path.display()));
        return ExitStatus::Faults;
    }
    if report.partial { ExitStatus::Partial } else { ExitStatus::Done }
}

async fn collect(client: &AdminClient) -> Result<BurnReportBuilder, AdminError> {
    let mut builder = BurnReportBuilder::new();
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut next: BTreeSet<SocketAddr> = client.servers().iter().copied().collect();
    let mut members = Vec::new();
    let mut failures = Vec::new();
    while !next.is_empty() {
        let responses = ask_all(client, &next).await;
        asked.append(&mut next);
        for (server, response) in responses {
            match response {
                Ok((snapshot, status)) => {
                    builder.add(&snapshot);
                    let addresses = status.members.iter().filter_map(|member| member.vm.admin);
                    next.extend(addresses.filter(|address| !asked.contains(address)));
                    members.extend(status.members);
                }
                Err(error) => failures.push((server, error)),
            }
        }
    }
    if builder.is_empty() {
        let first = failures.into_iter().next().map(|(_, error)| error);
        return Err(first.unwrap_or(AdminError::NotSent("no VM".to_owned())));
    }
    // A missing VM is named by zone and ordinal if a peer knows it, else by the address queried.
    let mut named = BTreeSet::new();
    for member in &members {
        if builder.has_incarnation(&member.vm.incarnation) {
            continue;
        }
        // An unresponsive process was replaced if another one with its zone and ordinal responds.
        // The counts of the old process are lost. The report covers this by `counted_since`, which
        // is not before the start of the new process.
        if member.state == VmState::Unresponsive && builder.has_responded(&member.vm.to_string()) {
            continue;
        }
        named.extend(member.vm.admin);
        builder.add_missing(member.vm.to_string());
    }
    for (server, _) in failures {
        if !named.contains(&server) {
            builder.add_missing(server.to_string());
        }
    }
    Ok(builder)
}

async fn ask_all(client: &AdminClient, servers: &BTreeSet<SocketAddr>) -> Vec<VmResponse> {
    let mut tasks = JoinSet::new();
    for server in servers {
        let client = client.for_server(*server);
        let server = *server;
        tasks.spawn(async move {
            let response = async {
                let snapshot = client.burn().await?;
                Ok((snapshot, client.status().await?))
            };
            (server, response.await)
        });
    }
    let mut responses = tasks.join_all().await;
    responses.sort_by_key(|(server, _)| *server);
    responses
}
