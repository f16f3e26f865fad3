//! Fake plain service in its own process. It records every executed call.

use std::error::Error;

use dragonflycart_testkit::{FakeArguments, FakeService, ServiceConfig, run_until_dead};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = FakeArguments::command(
        "fake_service",
        "Fake plain service that records every executed call",
    );
    let arguments = FakeArguments::parse(command);
    let config: ServiceConfig = arguments.config()?;
    let fake = FakeService::start_at(arguments.listen_addresses(), config).await?;
    run_until_dead(fake.server()).await;
    fake.close().await;
    Ok(())
}
