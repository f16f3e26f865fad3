//! Columns of the plan file.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Column of the plan file. docs/plan-sheet.md describes each.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SheetColumn {
    /// What the row states: `zone`, `serve` or `move`.
    Kind,
    /// Availability zone.
    Zone,
    /// Whether the zone takes new work: `in`, `out` or blank for no change.
    State,
    /// Highest load of the zone in concurrent requests.
    #[strum(serialize = "carry_limit")]
    ConcurrencyLimit,
    /// Model.
    Model,
    /// Version that is served.
    Version,
    /// Least load that the version needs in the zone, in concurrent requests.
    Needs,
    /// Name of a version move.
    Move,
    /// Version before the move.
    From,
    /// Version after the move.
    To,
    /// Earliest time of traffic on the new version.
    Start,
    /// Time by which the move is done or rolled back.
    Deadline,
    /// Free text, not read.
    Note,
}
