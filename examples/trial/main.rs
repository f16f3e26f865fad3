//! Embedded trial: two real daemons in two availability zones, with fakes of the platform and of
//! the backend servers, all in one process on loopback addresses.
//!
//! Without arguments it streams an answer and makes a booking, and ends. With `--keep` it keeps
//! running under a small load, for trying the operators' commands.

mod demo_caller;
mod trial_deployment;

use std::{error::Error, time::Duration};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::{demo_caller::DemoCaller, trial_deployment::TrialDeployment};

fn command() -> Command {
    Command::new("trial")
        .about("Runs dragonflycart with fakes around it and shows a streamed answer and a booking")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keeps running until Ctrl-C, under a small load"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("REQUESTS_PER_SECOND")
                .value_parser(value_parser!(u32).range(0..=200))
                .default_value("30")
                .help("Load with --keep"),
        )
        .arg(
            Arg::new("bad")
                .long("bad")
                .value_name("VERSION")
                .default_value("v3")
                .help("Model version that fails on the engines"),
        )
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let matches = command().get_matches();
    let bad = matches.get_one::<String>("bad").map_or("v3", String::as_str);
    let deployment = TrialDeployment::start(bad).await?;
    let caller = DemoCaller::new(deployment.addresses());
    show_work(&caller).await?;
    if !matches.get_flag("keep") {
        println!("Done. Run with --keep to try the operators' commands (docs/trial.md).");
        return Ok(());
    }
    deployment.print_help();
    let rate = matches.get_one::<u32>("rate").copied().unwrap_or(0);
    tokio::select! {
        () = caller.load(rate) => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    deployment.close().await;
    Ok(())
}

async fn show_work(caller: &DemoCaller) -> Result<(), Box<dyn Error + Send + Sync>> {
    println!("A streamed answer through the VM of zone jelgava:");
    let tokens = caller.stream(0, "Draft a hive plan for twelve colonies.", 24).await?;
    println!("  {tokens} tokens arrived, each once and in order.");
    println!("A timber order, and the caller's retry at the VM of zone bauska:");
    let first = caller.order(0, "order-2026-0001", 1).await?;
    println!("  first attempt:  {first}");
    let second = caller.order(1, "order-2026-0001", 2).await?;
    println!("  second attempt: {second}");
    if first != second {
        return Err("the two attempts got different answers".into());
    }
    // Leaves the fakes' logs in order before the summary.
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}
