//! Schema of one kind of section.

use crate::{KeySpec, SectionForm};

/// Schema of one kind of section.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SectionSpec {
    /// Name, without the colon and label of a named section.
    pub name: &'static str,
    /// Form of the heading, and the keys.
    pub form: SectionForm,
}

impl SectionSpec {
    /// Returns the schema of each key; empty if the author of the file chooses the keys.
    pub fn keys(&self) -> &'static [KeySpec] {
        match self.form {
            SectionForm::Required(keys)
            | SectionForm::Optional(keys)
            | SectionForm::Named(keys) => keys,
            SectionForm::FreeKeys(_) => &[],
        }
    }

    /// Returns the schema of `key`.
    pub fn find_key(&self, key: &str) -> Option<KeySpec> {
        if let SectionForm::FreeKeys(spec) = self.form {
            return Some(spec);
        }
        self.keys().iter().find(|spec| spec.key == key).copied()
    }

    /// Returns whether every settings file must have the section.
    pub fn is_required(&self) -> bool {
        matches!(self.form, SectionForm::Required(_) | SectionForm::FreeKeys(_))
    }

    /// Returns whether the heading is `[name:NAME]`.
    pub fn is_named(&self) -> bool {
        matches!(self.form, SectionForm::Named(_))
    }

    /// Returns the heading as the reference page writes it.
    pub fn heading(&self) -> String {
        if self.is_named() { format!("[{}:NAME]", self.name) } else { format!("[{}]", self.name) }
    }
}
