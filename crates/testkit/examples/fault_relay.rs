//! Fault-injecting TCP relay in its own process.

use std::error::Error;

use dragonflycart_testkit::{FakeArguments, FaultRelay, address_argument, stdin_end};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let target = address_argument("target", "Address that connections are relayed to");
    let command = FakeArguments::command("fault_relay", "Fault-injecting TCP relay");
    let arguments = FakeArguments::parse(command.arg(target.required(true)));
    let target = arguments.address("target").ok_or("--target is missing")?;
    let relay = FaultRelay::start_at(arguments.listen_addresses(), target).await?;
    println!("{} {}", relay.address(), relay.control_address());
    stdin_end().await;
    relay.close().await;
    Ok(())
}
