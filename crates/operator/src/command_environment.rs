//! Environment of a command.

use dragonflycart_core::WallTime;

/// Inputs of a command besides its arguments. They are passed as values so that tests can set them.
#[derive(Debug, Clone, Copy)]
pub struct CommandEnvironment<'a> {
    /// Value of the environment variable that holds the credential.
    pub credential: Option<&'a str>,
    /// Clock.
    pub now: fn() -> WallTime,
}
