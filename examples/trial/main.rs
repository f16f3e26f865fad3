//! Trial deployment: two real daemons in two availability zones, with fakes of the platform and of
//! the backend servers, all in one process on loopback addresses.
//!
//! Without arguments it streams a response, places an order, and ends. With `--keep` it keeps
//! running under a small load, so that the operators' commands can be tried.

mod demo_caller;
mod trial_deployment;

use std::{error::Error, time::Duration};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::{demo_caller::DemoCaller, trial_deployment::TrialDeployment};

fn command() -> Command {
    Command::new("trial")
        .about("Runs dragonflycart with fakes around it and shows a streamed response and an order")
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
                .help("Request rate with --keep; 0 for no load"),
        )
        .arg(
            Arg::new("bad")
                .long("bad")
                .value_name("VERSION")
                .default_value("v3")
                .help("Model version whose requests fail on the engines"),
        )
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let matches = command().get_matches();
    let bad_version = matches.get_one::<String>("bad").map_or("v3", String::as_str);
    let deployment = TrialDeployment::start(bad_version).await?;
    let caller = DemoCaller::new(deployment.addresses());
    run_demo(&caller).await?;
    if !matches.get_flag("keep") {
        println!("Done. Run with --keep to try the operators' commands (docs/trial.md).");
        return Ok(());
    }
    deployment.print_instructions();
    let rate = matches.get_one::<u32>("rate").copied().unwrap_or(0);
    tokio::select! {
        () = caller.send_load(rate) => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    deployment.close().await;
    Ok(())
}

async fn run_demo(caller: &DemoCaller) -> Result<(), Box<dyn Error + Send + Sync>> {
    println!("A streamed answer through the VM of zone jelgava:");
    let tokens = caller.stream(0, "Draft a hive plan for twelve colonies.", 24).await?;
    println!("  {tokens} tokens arrived, each once and in order.");
    println!("A timber order, and the caller's retry at the VM of zone bauska:");
    let first = caller.place_order(0, "order-2026-0001", 1).await?;
    println!("  first attempt:  {first}");
    let second = caller.place_order(1, "order-2026-0001", 2).await?;
    println!("  second attempt: {second}");
    if first != second {
        return Err("the two attempts got different responses".into());
    }
    // Gives the fakes time to finish their output before the summary.
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}
