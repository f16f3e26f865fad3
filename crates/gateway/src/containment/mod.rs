//! Containment of prompts that crash engines: observation, exchange between VMs, and refusal.

mod evidence;
pub(crate) mod evidence_exchange;
pub(crate) mod prompt_check;
mod prompt_run;
pub(crate) mod run_check;
mod run_state;
mod suspect_datagram;

use self::evidence::{engine_run, note_broken, note_engine_end, note_sound};
pub(crate) use self::{prompt_run::PromptRun, run_state::RunState};
