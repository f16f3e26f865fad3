//! Validated names. A name is short printable ASCII, so that it can be used in a header, a metric
//! label or a log line without escaping.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Error returned when a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most 128 bytes, found {0}
    TooLong(usize),
    /// a name consists of ASCII letters, digits and "-_.:/", found {0:?}
    BadCharacter(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    for character in text.chars() {
        if character.is_ascii_alphanumeric() || "-_.:/".contains(character) {
            continue;
        }
        return Err(NameError::BadCharacter(character));
    }
    Ok(())
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` as a name.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is empty, longer than 128 bytes or has a
            /// character outside the accepted set.
            pub fn new(text: &str) -> Result<$name, NameError> {
                check_name(text)?;
                Ok($name(Arc::from(text)))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                $name::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                $name::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

define_name!(
    /// Name of an availability zone.
    ZoneName
);
define_name!(
    /// Name of a team, the unit of fair sharing.
    TeamName
);
define_name!(
    /// Name of a model, independent of its version.
    ModelName
);
define_name!(
    /// Version of a model.
    VersionName
);
define_name!(
    /// Name of a plain service.
    ServiceName
);
define_name!(
    /// Configured name of a backend server; it survives restarts of the server.
    ServerName
);
define_name!(
    /// Kind of request within a model or service, for example `report` or `classify`.
    RouteName
);
define_name!(
    /// Idempotency key chosen by the caller, unique within its team.
    RequestKey
);
define_name!(
    /// Name of an operator, as recorded in the log.
    OperatorName
);
