//! Validated values of one section.

use std::{net::SocketAddr, time::Duration};

use crate::{SectionSpec, SettingValue};

/// Validated values of one section, defaults included. The getters return `None` if the key is
/// unset, has another type or is invalid.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SectionValues {
    pub(crate) spec: &'static SectionSpec,
    pub(crate) label: String,
    pub(crate) values: Vec<(String, SettingValue)>,
}

impl SectionValues {
    pub(crate) fn heading(&self) -> String {
        if self.label.is_empty() {
            self.spec.name.to_owned()
        } else {
            format!("{}:{}", self.spec.name, self.label)
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&SettingValue> {
        self.values.iter().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    pub(crate) fn duration(&self, key: &str) -> Option<Duration> {
        match self.get(key)? {
            SettingValue::Duration(duration) => Some(*duration),
            _ => None,
        }
    }

    pub(crate) fn size(&self, key: &str) -> Option<usize> {
        match self.get(key)? {
            SettingValue::Size(bytes) => usize::try_from(*bytes).ok(),
            _ => None,
        }
    }

    pub(crate) fn integer<T: TryFrom<u64>>(&self, key: &str) -> Option<T> {
        match self.get(key)? {
            SettingValue::Integer(number) => T::try_from(*number).ok(),
            _ => None,
        }
    }

    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            SettingValue::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub(crate) fn flag(&self, key: &str) -> Option<bool> {
        match self.get(key)? {
            SettingValue::Flag(flag) => Some(*flag),
            _ => None,
        }
    }

    pub(crate) fn address(&self, key: &str) -> Option<SocketAddr> {
        match self.get(key)? {
            SettingValue::Address(address) => Some(*address),
            _ => None,
        }
    }

    pub(crate) fn addresses(&self, key: &str) -> Option<Vec<SocketAddr>> {
        match self.get(key)? {
            SettingValue::AddressList(addresses) => Some(addresses.clone()),
            _ => None,
        }
    }

    /// Returns a name, choice, credential or path as text.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            SettingValue::Name(text) | SettingValue::Secret(text) | SettingValue::Path(text) => {
                Some(text)
            }
            SettingValue::Choice(word) => Some(word),
            _ => None,
        }
    }

    /// Parses a name or choice into its type.
    pub(crate) fn parsed<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.text(key)?.parse().ok()
    }

    /// Returns a list of names.
    pub(crate) fn names(&self, key: &str) -> Option<&[String]> {
        match self.get(key)? {
            SettingValue::NameList(names) => Some(names),
            _ => None,
        }
    }

    /// Parses a list of names into their type.
    pub(crate) fn parsed_names<T: std::str::FromStr + Ord>(
        &self,
        key: &str,
    ) -> Option<std::collections::BTreeSet<T>> {
        self.names(key)?.iter().map(|name| name.parse().ok()).collect()
    }
}
