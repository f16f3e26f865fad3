//! Fake inference engine in its own process.

use std::error::Error;

use dragonflycart_testkit::{EngineConfig, FakeArguments, FakeEngine, run_until_dead};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command =
        FakeArguments::command("fake_engine", "Fake inference engine with deterministic tokens");
    let arguments = FakeArguments::parse(command);
    let config: EngineConfig = arguments.config()?;
    let fake = FakeEngine::start_at(arguments.listen_addresses(), config).await?;
    run_until_dead(fake.server()).await;
    fake.close().await;
    Ok(())
}
