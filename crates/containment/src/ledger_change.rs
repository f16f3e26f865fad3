//! Change of what a ledger believes of a part.

use dragonflycart_core::PromptPart;
use strum::IntoStaticStr;

/// Change of what a ledger believes of a part, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LedgerChange {
    /// Another crash counts against the part.
    Suspected {
        /// The part.
        part: PromptPart,
        /// Crashes that count against it.
        crashes: u32,
    },
    /// Requests with the part are refused from now on.
    Contained {
        /// The part.
        part: PromptPart,
        /// Crashes that count against it.
        crashes: u32,
    },
    /// The part was seen to be sound, or its crashes are due to another part.
    Cleared {
        /// The part.
        part: PromptPart,
    },
    /// Neither a crash nor a request with the part was seen for so long that it is forgotten.
    Forgotten {
        /// The part.
        part: PromptPart,
    },
}
