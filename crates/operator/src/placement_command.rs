//! The command `placement`.

use clap::ArgMatches;
use dragonflycart_explanation::{
    FaultKind, PlacementAnswer, PlacementFault, PlacementOutcome, PlacementQuestion, ScorePart,
};
use strum::IntoEnumIterator;

use crate::{Console, ExitStatus, StatusClient, TextTable};

/// Builds the question from the arguments of the command.
pub(crate) fn read_question(arguments: &ArgMatches) -> PlacementQuestion {
    let text = |name: &str| arguments.get_one::<String>(name).cloned();
    let number = |name: &str| arguments.get_one::<u64>(name).copied();
    PlacementQuestion {
        route: text("route"),
        method: text("method"),
        path: text("path"),
        host: text("host"),
        service: text("service"),
        team: text("team"),
        prompt_tokens: number("prompt-tokens"),
        output_tokens: number("output-tokens"),
        shared_part: text("shared-part"),
        seed: number("seed"),
    }
}

/// Shows where a request would go now, and why.
pub(crate) async fn show_placement(
    console: &mut Console<'_>,
    client: &StatusClient,
    question: &PlacementQuestion,
) -> ExitStatus {
    let work = client.placement(question);
    match console.run_with_progress("waiting for the answer", work).await {
        Ok(Ok(answer)) => {
            console.value(&answer);
            print_answer(console, &answer);
            ExitStatus::Done
        }
        Ok(Err(fault)) => report_fault(console, &fault),
        Err(error) => console.report_failure(&error),
    }
}

fn report_fault(console: &mut Console<'_>, fault: &PlacementFault) -> ExitStatus {
    console.diagnostic(&format!("{}: {}", fault.error, fault.message));
    match fault.error {
        FaultKind::BadQuestion => ExitStatus::Usage,
        FaultKind::UnknownRoute | FaultKind::UnknownTeam => ExitStatus::Rejected,
        FaultKind::NotReady => ExitStatus::NotReady,
    }
}

fn print_answer(console: &mut Console<'_>, answer: &PlacementAnswer) {
    console.line(&format!(
        "VM {} in zone {}, route plan {} (confirmed {})",
        answer.vm,
        answer.zone,
        answer.plan_version,
        answer.plan_age_ms.map_or("never".to_owned(), |age| format!("{age} ms ago")),
    ));
    let weights: Vec<_> =
        answer.services.iter().map(|(service, weight)| format!("{service} {weight}")).collect();
    console.line(&format!(
        "route {}, service {} (weights: {}), team {}, admission {}, rank {}, {} tokens, seed {}",
        answer.route,
        answer.service,
        weights.join(", "),
        answer.team.as_deref().unwrap_or("none"),
        answer.admission,
        answer.rank,
        answer.reserved_tokens,
        answer.seed,
    ));
    if let Some(version_move) = &answer.version_move {
        let (phase, role) = (&version_move.phase, &version_move.role);
        console.line(&format!("version move: {phase}; chosen among the {role} version"));
    }
    if answer.sampled_share < 1.0 {
        let percent = answer.sampled_share * 100.0;
        console.line(&format!("chosen among {percent:.1}% of the servers of other zones"));
    }
    if let Some(limit) = answer.fill_limit {
        console.line(&format!("engines are filled up to {:.1}%", limit * 100.0));
    }
    console.line(&format!("outcome: {}\n", describe_outcome(&answer.outcome)));
    console.table("scores (the lowest is chosen)", &score_table(answer));
    console.table("inputs", &input_table(answer));
}

fn describe_outcome(outcome: &PlacementOutcome) -> String {
    match outcome {
        PlacementOutcome::Server { id } => format!("sent to {id} at once"),
        PlacementOutcome::Wait { reason, waiting, expected_ms, maximum_ms } => {
            let expected =
                expected_ms.map_or(String::new(), |time| format!(", about {time} ms expected"));
            format!("waits ({reason}), {waiting} waiting{expected}, at most {maximum_ms} ms")
        }
        PlacementOutcome::Refusal { error, reason, retry_after_ms } => {
            let retry = retry_after_ms
                .map_or("no Retry-After".to_owned(), |time| format!("Retry-After {time} ms"));
            format!("refused with {error} ({reason}), {retry}")
        }
    }
}

fn score_table(answer: &PlacementAnswer) -> TextTable {
    // Parts that no server has are left out.
    let has_part =
        |part: &ScorePart| answer.servers.iter().any(|server| server.parts.contains_key(part));
    let parts: Vec<ScorePart> = ScorePart::iter().filter(has_part).collect();
    let mut headings = vec!["SERVER".to_owned(), "SCORE".to_owned()];
    headings.extend(parts.iter().map(|part| part.to_string().to_uppercase()));
    headings.push("EXCLUDED BY".to_owned());
    let mut table = TextTable::with_headings(headings);
    for server in &answer.servers {
        let mut row = vec![server.id.clone(), format!("{:.3}", server.score)];
        for part in &parts {
            row.push(server.parts.get(part).map_or("-".to_owned(), |value| format!("{value:.3}")));
        }
        let excluded: Vec<_> = server.excluded.iter().map(ToString::to_string).collect();
        row.push(if excluded.is_empty() { "-".to_owned() } else { excluded.join(", ") });
        table.push_row(row);
    }
    table
}

fn input_table(answer: &PlacementAnswer) -> TextTable {
    let mut table = TextTable::new(&[
        "SERVER",
        "ADDRESS",
        "ZONE",
        "VERSION",
        "REQUESTS",
        "SLOTS",
        "TOKENS",
        "UNREAD",
        "SPEED",
        "SPEED AGE",
        "OWN REPORT",
        "PEER REPORTS",
    ]);
    let age = |time: Option<u64>| time.map_or("-".to_owned(), |time| format!("{time} ms"));
    for server in &answer.servers {
        let ages = server.ages;
        let peers = match (ages.newest_peer_report_ms, ages.oldest_peer_report_ms) {
            (Some(newest), Some(oldest)) => format!("{} ({newest}-{oldest} ms)", ages.peer_reports),
            _ => "-".to_owned(),
        };
        table.push([
            server.id.clone(),
            server.address.to_string(),
            server.zone.clone(),
            server.version.clone(),
            server.requests.to_string(),
            server.slots.to_string(),
            server.memory_tokens.to_string(),
            server.pending_prompt_tokens.to_string(),
            server.speed.map_or("-".to_owned(), |speed| format!("{:.0}%", speed * 100.0)),
            age(ages.speed_ms),
            age(ages.reported_load_ms),
            peers,
        ]);
    }
    table
}
