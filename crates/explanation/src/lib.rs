//! Question where a request would go now, and its answer. The gateway answers it on its status
//! address, and the operators' command line asks it.

mod input_ages;
mod placement_answer;
mod placement_fault;
mod placement_outcome;
mod placement_question;
mod role_choice;
mod score_part;
mod server_exclusion;
mod server_explanation;
mod wait_reason;

pub use crate::{
    input_ages::InputAges,
    placement_answer::PlacementAnswer,
    placement_fault::{FaultKind, PlacementFault},
    placement_outcome::PlacementOutcome,
    placement_question::PlacementQuestion,
    role_choice::RoleChoice,
    score_part::ScorePart,
    server_exclusion::ServerExclusion,
    server_explanation::ServerExplanation,
    wait_reason::WaitReason,
};

/// Path of the question on the status address.
pub const PLACEMENT_PATH: &str = "/placement";
