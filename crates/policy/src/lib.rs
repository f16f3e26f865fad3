//! Decisions as pure values: placement, admission, fairness, limits, retries, version moves.

mod move_alarm;
mod move_comparison;
mod move_control;
mod move_counts;
mod move_decision;
mod move_epochs;
mod move_evidence;
mod move_judge;
mod move_measure;
mod move_pace;
mod move_proof;
mod move_reason;
mod move_settings;
mod move_shares;
mod move_side;
mod move_state;
mod move_stratum;
mod move_test;

pub use crate::move_alarm::MoveAlarm;
pub use crate::move_comparison::MoveComparison;
pub use crate::move_control::MoveControl;
pub use crate::move_counts::MoveCounts;
pub use crate::move_decision::MoveDecision;
pub use crate::move_epochs::MoveEpochs;
pub use crate::move_evidence::MoveEvidence;
pub use crate::move_judge::MoveJudge;
pub use crate::move_measure::MoveMeasure;
pub use crate::move_pace::MovePace;
pub use crate::move_proof::MoveProof;
pub use crate::move_reason::MoveReason;
pub use crate::move_settings::MoveSettings;
pub use crate::move_shares::MoveShares;
pub use crate::move_side::MoveSide;
pub use crate::move_state::MoveState;
pub use crate::move_stratum::MoveStratum;
pub use crate::move_test::MoveTest;
