//! Description of one kind of section.

use crate::{KeySpec, SectionForm};

/// Description of one kind of section.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SectionSpec {
    /// Name before any colon.
    pub name: &'static str,
    /// Heading and keys.
    pub form: SectionForm,
}

impl SectionSpec {
    /// Returns the described keys. A section of free keys has none.
    pub fn keys(&self) -> &'static [KeySpec] {
        match self.form {
            SectionForm::Required(keys) | SectionForm::Single(keys) | SectionForm::Named(keys) => {
                keys
            }
            SectionForm::Free(_) => &[],
        }
    }

    /// Returns the description of `key`.
    pub fn find_key(&self, key: &str) -> Option<KeySpec> {
        if let SectionForm::Free(spec) = self.form {
            return Some(spec);
        }
        self.keys().iter().find(|spec| spec.key == key).copied()
    }

    /// Returns whether a file must have the section.
    pub fn is_required(&self) -> bool {
        matches!(self.form, SectionForm::Required(_) | SectionForm::Free(_))
    }

    /// Returns whether the section is headed `[name:NAME]`.
    pub fn is_named(&self) -> bool {
        matches!(self.form, SectionForm::Named(_))
    }

    /// Returns the heading as the reference page writes it.
    pub fn heading(&self) -> String {
        if self.is_named() { format!("[{}:NAME]", self.name) } else { format!("[{}]", self.name) }
    }
}
