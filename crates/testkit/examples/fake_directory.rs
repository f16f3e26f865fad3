//! Fake VM list in its own process.

use std::error::Error;

use dragonflycart_testkit::{DirectoryConfig, FakeArguments, FakeDirectory, run_until_dead};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let command = FakeArguments::command("fake_directory", "Fake VM list");
    let arguments = FakeArguments::parse(command);
    let config: DirectoryConfig = arguments.config()?;
    let fake = FakeDirectory::start_at(arguments.listen_addresses(), config).await?;
    run_until_dead(fake.server()).await;
    fake.close().await;
    Ok(())
}
