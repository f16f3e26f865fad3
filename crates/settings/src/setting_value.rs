//! Validated value of one key.

use std::{net::SocketAddr, time::Duration};

use crate::units::{format_duration, format_size};

/// Shown in place of a credential.
const SECRET_MASK: &str = "********";

/// Value of a key, validated against its [`ValueKind`](crate::ValueKind).
#[derive(Debug, Clone, PartialEq)]
pub enum SettingValue {
    /// Unset; only for optional keys.
    None,
    /// Duration.
    Duration(Duration),
    /// Size in bytes.
    Size(u64),
    /// Whole number.
    Integer(u64),
    /// Decimal number.
    Number(f64),
    /// Yes or no.
    Flag(bool),
    /// IP address and port.
    Address(SocketAddr),
    /// IP addresses and ports.
    AddressList(Vec<SocketAddr>),
    /// Name.
    Name(String),
    /// Names.
    NameList(Vec<String>),
    /// One of a fixed set of words.
    Choice(&'static str),
    /// Credential.
    Secret(String),
    /// File path.
    Path(String),
    /// Size and region of an availability zone.
    ZoneSize {
        /// Number of VM ordinals; messages call them seats.
        ordinal_count: u16,
        /// Region.
        region: String,
    },
}

impl SettingValue {
    /// Formats the value as in a settings file, with credentials masked.
    pub fn to_ini_value(&self) -> String {
        match self {
            SettingValue::None => "none".to_owned(),
            SettingValue::Duration(duration) => format_duration(*duration),
            SettingValue::Size(bytes) => format_size(*bytes),
            SettingValue::Integer(number) => number.to_string(),
            SettingValue::Number(number) => number.to_string(),
            SettingValue::Flag(true) => "yes".to_owned(),
            SettingValue::Flag(false) => "no".to_owned(),
            SettingValue::Address(address) => address.to_string(),
            SettingValue::AddressList(addresses) => {
                addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
            }
            SettingValue::Name(text) | SettingValue::Path(text) => text.clone(),
            SettingValue::NameList(names) => names.join(", "),
            SettingValue::Choice(choice) => (*choice).to_owned(),
            SettingValue::Secret(_) => SECRET_MASK.to_owned(),
            SettingValue::ZoneSize { ordinal_count, region } => {
                format!("{ordinal_count}, {region}")
            }
        }
    }
}
