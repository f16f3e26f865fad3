//! Columns of the plan file.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Column of the plan file. docs/plan-sheet.md describes each.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SheetColumn {
    /// Kind of the row: `zone`, `serve` or `move`.
    Kind,
    /// Availability zone.
    Zone,
    /// Whether the zone accepts new work: `in`, `out`, or blank for no change.
    State,
    /// Concurrency limit of the zone.
    #[strum(serialize = "carry_limit")]
    ConcurrencyLimit,
    /// Model.
    Model,
    /// Version that is served in the zone.
    Version,
    /// Minimum concurrency that the version needs in the zone.
    Needs,
    /// Id of a version move.
    Move,
    /// Version before the move.
    From,
    /// Version after the move.
    To,
    /// Time before which the new version gets no traffic.
    Start,
    /// Time by which the move is done or rolled back.
    Deadline,
    /// Comment, which is ignored.
    Note,
}
