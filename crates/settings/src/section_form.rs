//! Forms of sections.

use crate::KeySpec;

/// Form of a section's heading, and the keys of the section.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SectionForm {
    /// `[name]`; must be present.
    Required(&'static [KeySpec]),
    /// `[name]`; may be missing if all its keys have defaults.
    Optional(&'static [KeySpec]),
    /// `[name:NAME]`; any number of sections, each with its own label.
    Named(&'static [KeySpec]),
    /// `[name]`; must be present. The author of the file chooses the keys, and all values have the
    /// given schema.
    FreeKeys(KeySpec),
}
