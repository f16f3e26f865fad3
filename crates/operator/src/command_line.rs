//! Commands and arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use dragonflycart_core::ZoneName;

use crate::CREDENTIAL_VARIABLE;

/// Exit codes as shown by `--help`.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 faults in a file, 2 wrong command line, \
    3 another operator's plan won, 4 outcome unknown, 5 no server answered, 6 rejected by the \
    server, or the route or team is unknown, 7 partial report, 8 a followed move was rolled back, 9 \
    the VM does not know its route plan or servers yet.";

/// Must exceed the 5 s after which a VM responds that the outcome of a submission is unknown.
const DEFAULT_TIMEOUT_SECONDS: &str = "7";

/// Builds the definition of all commands and arguments.
pub fn build_command() -> Command {
    Command::new("dragonflycartctl")
        .about("Submits plans to dragonflycart and shows its state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(plan_command())
        .subcommand(zone_command())
        .subcommand(
            Command::new("status").about("Shows the status of the deployment, as one VM knows it"),
        )
        .subcommand(moves_command())
        .subcommand(burn_command())
        .subcommand(explain_command())
        .subcommand(placement_command())
}

fn global_args() -> [Arg; 5] {
    let seconds = value_parser!(u64).range(1..=3_600);
    [
        Arg::new("server")
            .long("server")
            .value_name("ADDR")
            .help("Administration address of a VM; repeat for more VMs, tried in this order")
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append)
            .global(true),
        Arg::new("credential-file")
            .long("credential-file")
            .value_name("FILE")
            .help(format!("File with the credential; without it {CREDENTIAL_VARIABLE} is used"))
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .help("Timeout for the response of one VM")
            .default_value(DEFAULT_TIMEOUT_SECONDS)
            .value_parser(seconds)
            .global(true),
        Arg::new("patience")
            .long("patience")
            .value_name("SECONDS")
            .help("Timeout for the outcome of a submission")
            .default_value("30")
            .value_parser(seconds)
            .global(true),
        Arg::new("json")
            .long("json")
            .help("Writes results as JSON, one value per line")
            .action(ArgAction::SetTrue)
            .global(true),
    ]
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Shows the log lines about one request and its outcome")
        .arg(Arg::new("id").value_name("ID").help("Id of the attempt").required(true))
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .help("Log files, one for each VM")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn placement_command() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        text(name, value, help).value_parser(value_parser!(u64))
    };
    Command::new("placement")
        .about("Shows where a request would go now, and why, without sending it")
        .long_about(
            "Shows where a request would go now, and why, as one VM's gateway would decide it. \
             Nothing is sent or reserved. --server takes the status address of the VM, which \
             needs no credential.",
        )
        .arg(text("route", "NAME", "Name of the route"))
        .arg(text("path", "PATH", "Path of the request, instead of the route"))
        .group(ArgGroup::new("target").args(["route", "path"]).required(true))
        .arg(text("method", "METHOD", "Method of the request").requires("path"))
        .arg(text("host", "HOST", "Host of the request").requires("path"))
        .arg(text(
            "service",
            "SERVICE",
            "Service of the route; the one with most of its requests by default",
        ))
        .arg(text("team", "TEAM", "Team of the caller"))
        .arg(number("prompt-tokens", "COUNT", "Tokens of the prompt"))
        .arg(number("output-tokens", "COUNT", "Expected output tokens"))
        .arg(text("shared-part", "ID", "Id of the longest part of the prompt that is shared"))
        .arg(number("seed", "NUMBER", "Seed of the random part; a random one by default"))
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Plan file, CSV")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn base_arg() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .help("Revision that the change replaces; the active one by default")
        .value_parser(value_parser!(u64))
}

fn plan_command() -> Command {
    Command::new("plan")
        .about("Checks, compares, submits and shows plans")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Reports every fault of a plan file, with --server also against the VMs")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("diff").about("Compares a plan file with the active plan").arg(file_arg()),
        )
        .subcommand(
            Command::new("submit")
                .about("Submits a plan file and waits for the outcome")
                .arg(file_arg())
                .arg(base_arg()),
        )
        .subcommand(Command::new("show").about("Shows the active plan"))
}

fn zone_command() -> Command {
    let zone = Arg::new("zone")
        .value_name("ZONE")
        .help("Availability zone")
        .required(true)
        .value_parser(|text: &str| ZoneName::new(text));
    let emergency = Arg::new("emergency")
        .long("emergency")
        .help("Overrides the state of the zone on the VMs if the log service is down")
        .action(ArgAction::SetTrue);
    Command::new("zone")
        .about("Takes an availability zone out of service or returns it")
        .subcommand_required(true)
        .subcommand(
            Command::new("out")
                .about("Takes the zone out of service; it gets no new work")
                .arg(zone.clone())
                .arg(base_arg())
                .arg(emergency),
        )
        .subcommand(
            Command::new("in").about("Returns the zone to service").arg(zone).arg(base_arg()),
        )
}

fn moves_command() -> Command {
    Command::new("moves")
        .about("Shows version moves")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all moves"))
        .subcommand(
            Command::new("follow")
                .about("Reports each change of state or share until all moves have ended")
                .arg(Arg::new("move").value_name("MOVE").help("Only this move").num_args(0..=1)),
        )
}

fn burn_command() -> Command {
    Command::new("burn").about("Reports error budgets and burn rates over all VMs").arg(
        Arg::new("html")
            .long("html")
            .value_name("FILE")
            .help("Also writes the report as one HTML page")
            .value_parser(value_parser!(PathBuf)),
    )
}
