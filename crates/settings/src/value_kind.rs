//! Types and ranges of values.

use dragonflycart_core::ZoneName;

use crate::{
    SettingValue,
    units::{parse_duration, parse_size},
};

/// Minimum length of a credential. 16 characters from an alphabet of 64 can't be guessed over the
/// network.
const SECRET_MIN_CHARACTERS: usize = 16;
/// Separator of list entries.
const LIST_SEPARATOR: char = ',';

/// Type and range of a value. Limits of durations and sizes are kept as text, so that messages and
/// the reference page show them in the syntax of the settings file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ValueKind {
    /// Duration with a unit, bounds included.
    Duration {
        /// Minimum.
        min: &'static str,
        /// Maximum.
        max: &'static str,
    },
    /// Size with a unit, bounds included.
    Size {
        /// Minimum.
        min: &'static str,
        /// Maximum.
        max: &'static str,
    },
    /// Whole number, bounds included.
    Integer {
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// Decimal number, bounds included.
    Number {
        /// Minimum.
        min: f64,
        /// Maximum.
        max: f64,
    },
    /// `yes` or `no`.
    Flag,
    /// IP address and port. Host names are rejected, because the processes use no DNS.
    Address,
    /// Any number of addresses, separated by commas.
    AddressList,
    /// Name, as the core crate defines it.
    Name,
    /// Any number of names, separated by commas.
    NameList,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// Credential, masked wherever settings are shown.
    Secret,
    /// File path.
    Path,
    /// Number of VM ordinals and region of an availability zone, as in `2, muscat`. Messages call
    /// the ordinals seats, like the key `seat`.
    ZoneSize {
        /// Maximum number of ordinals.
        max_ordinal_count: u16,
    },
}

impl ValueKind {
    /// Describes the accepted values, for messages and the reference page.
    pub fn allowed(&self) -> String {
        match self {
            ValueKind::Duration { min, max } => {
                format!("a duration from {min} to {max} with unit ms, s, m, h or d")
            }
            ValueKind::Size { min, max } => {
                format!("a size from {min} to {max} with unit B, KiB, MiB or GiB")
            }
            ValueKind::Integer { min, max } => format!("a whole number from {min} to {max}"),
            ValueKind::Number { min, max } => format!("a number from {min} to {max}"),
            ValueKind::Flag => "yes or no".to_owned(),
            ValueKind::Address => "an IP address with port, for example 127.0.0.1:8080".to_owned(),
            ValueKind::AddressList => "IP addresses with port, separated by commas".to_owned(),
            ValueKind::Name => "a name of ASCII letters, digits and \"-_.:/\"".to_owned(),
            ValueKind::NameList => {
                "names of ASCII letters, digits and \"-_.:/\", separated by commas, each once"
                    .to_owned()
            }
            ValueKind::Choice(words) => format!("one of {}", words.join(", ")),
            ValueKind::Secret => {
                format!("at least {SECRET_MIN_CHARACTERS} printable ASCII characters, no spaces")
            }
            ValueKind::Path => "a file path".to_owned(),
            ValueKind::ZoneSize { max_ordinal_count } => {
                format!(
                    "number of seats from 1 to {max_ordinal_count} and a region, for example \"2, muscat\""
                )
            }
        }
    }

    /// Parses a trimmed text. Returns `None` if it is not an accepted value.
    pub fn parse(&self, text: &str) -> Option<SettingValue> {
        match self {
            ValueKind::Duration { min, max } => {
                let duration = parse_duration(text)?;
                let range = parse_duration(min)?..=parse_duration(max)?;
                range.contains(&duration).then_some(SettingValue::Duration(duration))
            }
            ValueKind::Size { min, max } => {
                let size = parse_size(text)?;
                let range = parse_size(min)?..=parse_size(max)?;
                range.contains(&size).then_some(SettingValue::Size(size))
            }
            ValueKind::Integer { min, max } => {
                let number = text.parse::<u64>().ok()?;
                (*min..=*max).contains(&number).then_some(SettingValue::Integer(number))
            }
            ValueKind::Number { min, max } => {
                let number = text.parse::<f64>().ok()?;
                (*min..=*max).contains(&number).then_some(SettingValue::Number(number))
            }
            ValueKind::Flag => match text {
                "yes" => Some(SettingValue::Flag(true)),
                "no" => Some(SettingValue::Flag(false)),
                _ => None,
            },
            ValueKind::Address => text.parse().ok().map(SettingValue::Address),
            ValueKind::AddressList => {
                let addresses = split_list(text)?.into_iter().map(|part| part.parse().ok());
                addresses.collect::<Option<Vec<_>>>().map(SettingValue::AddressList)
            }
            ValueKind::Name => is_name(text).then(|| SettingValue::Name(text.to_owned())),
            ValueKind::NameList => {
                let names = split_list(text)?;
                let valid = names.iter().all(|name| is_name(name));
                valid
                    .then(|| SettingValue::NameList(names.into_iter().map(str::to_owned).collect()))
            }
            ValueKind::Choice(words) => {
                words.iter().find(|word| **word == text).map(|word| SettingValue::Choice(word))
            }
            ValueKind::Secret => {
                let valid = text.len() >= SECRET_MIN_CHARACTERS
                    && text.chars().all(|character| character.is_ascii_graphic());
                valid.then(|| SettingValue::Secret(text.to_owned()))
            }
            ValueKind::Path => (!text.is_empty()).then(|| SettingValue::Path(text.to_owned())),
            ValueKind::ZoneSize { max_ordinal_count } => {
                let (ordinal_count, region) = text.split_once(LIST_SEPARATOR)?;
                let ordinal_count = ordinal_count.trim().parse::<u16>().ok()?;
                let region = region.trim();
                let valid = (1..=*max_ordinal_count).contains(&ordinal_count) && is_name(region);
                valid.then(|| SettingValue::ZoneSize { ordinal_count, region: region.to_owned() })
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    ZoneName::new(text).is_ok()
}

/// Splits a list. Returns `None` if an entry is empty or a duplicate.
fn split_list(text: &str) -> Option<Vec<&str>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let mut parts = Vec::new();
    for part in text.split(LIST_SEPARATOR).map(str::trim) {
        if part.is_empty() || parts.contains(&part) {
            return None;
        }
        parts.push(part);
    }
    Some(parts)
}
