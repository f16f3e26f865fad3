//! Request of a simulation.

use dragonflycart_policy::{PriorityClass, RequestTicket};

/// Request of a simulation, including what the policies don't know about it. Times are in
/// milliseconds, lengths in tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct SimRequest {
    /// VM that accepted it.
    pub vm: usize,
    /// Ticket of the request in the VM's scheduler.
    pub ticket: RequestTicket,
    /// Team, by number.
    pub team: usize,
    /// Route, by number.
    pub route: usize,
    /// Priority class.
    pub class: PriorityClass,
    /// Length of the prompt.
    pub prompt_length: u32,
    /// Output length, unknown to the policies.
    pub output_length: u32,
    /// Digest and length of the shared prefix.
    pub prefix: Option<(u64, u32)>,
    /// Time of submission.
    pub submitted: f64,
    /// Time after which the output is of no use.
    pub deadline: f64,
    /// Whether the request makes its engine fail.
    pub poison: bool,
    /// Tokens delivered.
    pub delivered: u32,
    /// Time of the last delivered token.
    pub last_token: Option<f64>,
    /// Engine and number of the dispatch, while the request is on its way to an engine or in it.
    pub engine: Option<(usize, u64)>,
    /// Number of dispatches.
    pub dispatches: u32,
    /// Whether the request ended, in any way.
    pub ended: bool,
}
