//! The command `burn`.

use std::{collections::BTreeSet, net::SocketAddr, path::Path};

use dragonflycart_burn::BurnSnapshot;
use tokio::task::JoinSet;

use crate::{
    AdminClient, AdminError, BurnMerge, BurnPage, Console, ExitStatus,
    api::{StatusResponse, VmState},
};

/// Answers of one VM.
type VmAnswer = (SocketAddr, Result<(BurnSnapshot, StatusResponse), AdminError>);

/// Reports on the objectives over all VMs: those given and all members that they know.
pub(crate) async fn run_burn(
    console: &mut Console<'_>,
    client: &AdminClient,
    page: Option<&Path>,
) -> ExitStatus {
    let collected = console.watch("waiting for the counts of the VMs", collect(client)).await;
    let merge = match collected {
        Ok(merge) => merge,
        Err(error) => return console.failure(&error),
    };
    let report = merge.into_report();
    console.value(&report);
    for line in report.coverage() {
        console.line(&line);
    }
    console.table("\nobjectives", &report.figure_table());
    console.table("worst over the last 6 h", &report.worst_table());
    if let Some(path) = page
        && let Err(error) = std::fs::write(path, BurnPage::new(&report).render())
    {
        console.note(&format!("{} can't be written: {error}", path.display()));
        return ExitStatus::Faults;
    }
    if report.partial { ExitStatus::Partial } else { ExitStatus::Done }
}

async fn collect(client: &AdminClient) -> Result<BurnMerge, AdminError> {
    let mut merge = BurnMerge::new();
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut next: BTreeSet<SocketAddr> = client.servers().iter().copied().collect();
    let mut members = Vec::new();
    let mut failures = Vec::new();
    while !next.is_empty() {
        let answers = ask_all(client, &next).await;
        asked.append(&mut next);
        for (server, answer) in answers {
            match answer {
                Ok((snapshot, status)) => {
                    merge.add(&snapshot);
                    let addresses = status.members.iter().filter_map(|member| member.vm.admin);
                    next.extend(addresses.filter(|address| !asked.contains(address)));
                    members.extend(status.members);
                }
                Err(error) => failures.push((server, error)),
            }
        }
    }
    if merge.is_empty() {
        let first = failures.into_iter().next().map(|(_, error)| error);
        return Err(first.unwrap_or(AdminError::NotSent("no VM".to_owned())));
    }
    // A VM is named by its place if a peer knows it, else by the address that was asked.
    let mut named = BTreeSet::new();
    for member in &members {
        if merge.has_incarnation(&member.vm.incarnation) {
            continue;
        }
        // A silent process whose place answers was replaced; its counts are lost, which the
        // report shows by the time since which events were counted in full.
        if member.state == VmState::Unresponsive && merge.has_answered(&member.vm.to_string()) {
            continue;
        }
        named.extend(member.vm.admin);
        merge.add_missing(member.vm.to_string());
    }
    for (server, _) in failures {
        if !named.contains(&server) {
            merge.add_missing(server.to_string());
        }
    }
    Ok(merge)
}

async fn ask_all(client: &AdminClient, servers: &BTreeSet<SocketAddr>) -> Vec<VmAnswer> {
    let mut tasks = JoinSet::new();
    for server in servers {
        let client = client.for_server(*server);
        let server = *server;
        tasks.spawn(async move {
            let answer = async {
                let snapshot = client.burn().await?;
                Ok((snapshot, client.status().await?))
            };
            (server, answer.await)
        });
    }
    let mut answers = tasks.join_all().await;
    answers.sort_by_key(|(server, _)| *server);
    answers
}
