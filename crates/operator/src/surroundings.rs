//! What a command takes from its surroundings.

use dragonflycart_core::WallTime;

/// What a command takes from its surroundings, as values, so that a test can set them.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
    /// Value of the variable that holds the credential.
    pub credential: Option<&'a str>,
    /// Clock.
    pub now: fn() -> WallTime,
}
