//! Answers where a request would go now, and why, without an effect on any state. The types of the
//! question and the answer are in `dragonflycart-explanation`.

mod choice_explanation;
mod placement_explainer;
mod question_reader;
mod score_parts;
mod score_sum;
mod status_answer;
mod turn_preview;

pub use self::{
    choice_explanation::ChoiceExplanation, placement_explainer::explain_request,
    score_parts::ScoreParts,
};
pub(crate) use self::{score_sum::ScoreSum, status_answer::answer};
