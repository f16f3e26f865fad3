//! Reason for which a load header is not used.

use strum::{Display, IntoStaticStr};

/// Reason for which a load header is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeaderFault {
    /// The response has no load header.
    Absent,
    /// A figure is missing.
    MissingFigure,
    /// A figure is not a number.
    NotANumber,
    /// A figure is zero, negative or too large to be plausible.
    Implausible,
}
