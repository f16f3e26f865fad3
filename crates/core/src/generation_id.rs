//! Identity of one generation.

use std::{fmt, str::FromStr};

use displaydoc::Display;
use thiserror::Error;
use uuid::Uuid;

use crate::ServerName;

/// Identity of one generation. It names the backend server that runs it, so that any entry VM can
/// resume the stream after the VM that accepted it is lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    server: ServerName,
    unique: u128,
}

/// Reason why a text is not a generation id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum GenerationIdError {
    /// a generation id is a backend server, "~" and 32 hexadecimal digits
    Malformed,
}

impl GenerationId {
    /// Draws a new identity for a generation on `server`.
    pub fn generate(server: ServerName) -> GenerationId {
        GenerationId { server, unique: Uuid::now_v7().as_u128() }
    }

    /// Builds an identity from its parts.
    pub fn from_parts(server: ServerName, unique: u128) -> GenerationId {
        GenerationId { server, unique }
    }

    /// Returns the backend server on which the generation was started.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Returns the unique part.
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
