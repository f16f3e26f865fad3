//! Description of one key.

use crate::{SettingValue, ValueKind};

/// Word that leaves an optional key unset.
const UNSET_WORD: &str = "none";

/// Description of one key of a section.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySpec {
    /// Name of the key.
    pub key: &'static str,
    /// Accepted form and range.
    pub kind: ValueKind,
    /// Value that is used if the key is missing; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Whether the word `none` is accepted.
    pub optional: bool,
}

impl KeySpec {
    /// Describes a key that must be given.
    pub const fn required(key: &'static str, kind: ValueKind) -> KeySpec {
        KeySpec { key, kind, default: None, optional: false }
    }

    /// Describes a key with a default.
    pub const fn with_default(
        key: &'static str,
        kind: ValueKind,
        default: &'static str,
    ) -> KeySpec {
        KeySpec { key, kind, default: Some(default), optional: false }
    }

    /// Describes a key that may be left unset.
    pub const fn optional(key: &'static str, kind: ValueKind) -> KeySpec {
        KeySpec { key, kind, default: Some(UNSET_WORD), optional: true }
    }

    /// Describes what is accepted.
    pub fn allowed(&self) -> String {
        let allowed = self.kind.allowed();
        if self.optional { format!("{allowed}, or {UNSET_WORD}") } else { allowed }
    }

    /// Parses a value. Returns `None` if it is not accepted.
    pub fn parse(&self, text: &str) -> Option<SettingValue> {
        if self.optional && text == UNSET_WORD {
            return Some(SettingValue::None);
        }
        self.kind.parse(text)
    }
}
