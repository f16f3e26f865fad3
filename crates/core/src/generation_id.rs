//! Identifier of a generation.

use std::{fmt, str::FromStr};

use displaydoc::Display;
use thiserror::Error;
use uuid::Uuid;

use crate::ServerName;

/// Identifier of a generation. It names the backend server that runs the generation, so that any
/// entry VM can resume the stream if the VM that accepted the request is lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    server: ServerName,
    unique: u128,
}

/// Error returned when a string is not a valid generation id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum GenerationIdError {
    /// a generation id is a backend server, "~" and 32 hexadecimal digits
    Malformed,
}

impl GenerationId {
    /// Generates a new id for a generation on `server`.
    pub fn generate(server: ServerName) -> GenerationId {
        GenerationId { server, unique: Uuid::now_v7().as_u128() }
    }

    /// Builds an id from its parts.
    pub fn from_parts(server: ServerName, unique: u128) -> GenerationId {
        GenerationId { server, unique }
    }

    /// Returns the backend server that ran the generation when the id was built.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Returns the part that is unique among all generations.
    pub fn unique(&self) -> u128 {
        self.unique
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:032x}", self.server, self.unique)
    }
}

impl FromStr for GenerationId {
    type Err = GenerationIdError;

    fn from_str(text: &str) -> Result<GenerationId, GenerationIdError> {
        let (server, unique) = text.rsplit_once('~').ok_or(GenerationIdError::Malformed)?;
        let server = ServerName::new(server).map_err(|_| GenerationIdError::Malformed)?;
        if unique.len() != 32 {
            return Err(GenerationIdError::Malformed);
        }
        let unique = u128::from_str_radix(unique, 16).map_err(|_| GenerationIdError::Malformed)?;
        Ok(GenerationId { server, unique })
    }
}
