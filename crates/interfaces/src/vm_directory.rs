//! Interface to the platform's list of VMs.

use std::net::SocketAddr;

use displaydoc::Display;
use dragonflycart_core::ZoneName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::BoxFuture;

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM was told to shut down.
    Leaving,
}

/// Entry of the platform's list of VMs. The list lags, so an entry is only a hint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmEntry {
    /// Address for messages between entry VMs.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// State according to the list.
    pub state: VmState,
}

/// Failure to read the list of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DirectoryError {
    /// the list of VMs can't be read
    Unavailable,
}

/// The platform's list of live and leaving VMs.
pub trait VmDirectory: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::Unavailable`] if the platform gives no valid response.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, DirectoryError>>;
}
