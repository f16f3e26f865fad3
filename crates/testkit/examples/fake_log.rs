//! Fake log service in its own process.

use std::error::Error;

use dragonflycart_testkit::{FakeArguments, FakeLog, LogConfig, run_until_dead};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = FakeArguments::command("fake_log", "Fake log service");
    let arguments = FakeArguments::parse(command);
    let config: LogConfig = arguments.config()?;
    let fake = FakeLog::start_at(arguments.listen_addresses(), config).await?;
    run_until_dead(fake.server()).await;
    fake.close().await;
    Ok(())
}
