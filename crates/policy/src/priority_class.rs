//! Priority classes of requests.

use strum::{Display, EnumString, IntoStaticStr};

/// Priority class of a request. Classes share capacity by weight, so that none starves.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PriorityClass {
    /// A person waits for the first token.
    Interactive,
    /// A program waits for the result.
    Standard,
    /// Deferred request with a late deadline.
    Batch,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [PriorityClass; 3] =
        [PriorityClass::Interactive, PriorityClass::Standard, PriorityClass::Batch];

    /// Returns the scheduling priority in the engine. Requests with higher values are preempted
    /// later.
    pub const fn engine_priority(self) -> u8 {
        match self {
            PriorityClass::Interactive => 2,
            PriorityClass::Standard => 1,
            PriorityClass::Batch => 0,
        }
    }
}
