//! Fault-injecting TCP relay in its own process.

use std::error::Error;

use dragonflycart_testkit::{FakeArguments, FaultRelay, address_argument, wait_for_stdin_eof};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let target = address_argument("target", "Address that connections are relayed to");
    let command = FakeArguments::command("fault_relay", "Fault-injecting TCP relay");
    let arguments = FakeArguments::parse(command.arg(target.required(true)));
    let target = arguments.address("target").ok_or("--target is missing")?;
    let relay = FaultRelay::start_at(arguments.listen_addresses(), target).await?;
    println!("{} {}", relay.address(), relay.control_address());
    wait_for_stdin_eof().await;
    relay.close().await;
    Ok(())
}
