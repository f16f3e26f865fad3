//! Schema of one key.

use crate::{SettingValue, ValueKind};

/// Value that leaves an optional key unset.
const UNSET_WORD: &str = "none";

/// Schema of one key of a section.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeySpec {
    /// Name of the key.
    pub key: &'static str,
    /// Type and range of the value.
    pub kind: ValueKind,
    /// Value if the key is missing; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Whether the value `none` is accepted.
    pub optional: bool,
}

impl KeySpec {
    /// Creates the schema of a required key.
    pub const fn required(key: &'static str, kind: ValueKind) -> KeySpec {
        KeySpec { key, kind, default: None, optional: false }
    }

    /// Creates the schema of a key with a default.
    pub const fn with_default(
        key: &'static str,
        kind: ValueKind,
        default: &'static str,
    ) -> KeySpec {
        KeySpec { key, kind, default: Some(default), optional: false }
    }

    /// Creates the schema of a key that may be unset.
    pub const fn optional(key: &'static str, kind: ValueKind) -> KeySpec {
        KeySpec { key, kind, default: Some(UNSET_WORD), optional: true }
    }

    /// Describes the accepted values, for messages and the reference page.
    pub fn allowed(&self) -> String {
        let allowed = self.kind.allowed();
        if self.optional { format!("{allowed}, or {UNSET_WORD}") } else { allowed }
    }

    /// Parses a value. Returns `None` if the key does not accept it.
    pub fn parse(&self, text: &str) -> Option<SettingValue> {
        if self.optional && text == UNSET_WORD {
            return Some(SettingValue::None);
        }
        self.kind.parse(text)
    }
}
