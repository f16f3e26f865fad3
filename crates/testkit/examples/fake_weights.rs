//! Fake weight store in its own process.

use std::error::Error;

use dragonflycart_testkit::{FakeArguments, FakeWeights, WeightConfig, run_until_dead};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = FakeArguments::command("fake_weights", "Fake weight store");
    let arguments = FakeArguments::parse(command);
    let config: WeightConfig = arguments.config()?;
    let fake = FakeWeights::start_at(arguments.listen_addresses(), config).await?;
    run_until_dead(fake.server()).await;
    fake.close().await;
    Ok(())
}
