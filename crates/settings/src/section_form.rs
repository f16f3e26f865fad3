//! Headings of sections.

use crate::KeySpec;

/// How a section is headed and which keys it has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SectionForm {
    /// `[name]`, must be present.
    Required(&'static [KeySpec]),
    /// `[name]`, may be missing if all its keys have defaults.
    Single(&'static [KeySpec]),
    /// `[name:NAME]`, any number of times.
    Named(&'static [KeySpec]),
    /// `[name]` whose keys are names chosen by the author; all values have the given form.
    Free(KeySpec),
}
