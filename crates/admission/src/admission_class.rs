//! How a request is admitted to the engines of its service.

use strum::{Display, IntoStaticStr};

/// How a request is admitted to the engines of its service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AdmissionClass {
    /// The service has no deferrable route. Its requests wait in order of arrival, without an
    /// estimate.
    #[default]
    Unmanaged,
    /// The service has a deferrable route, and the request's route is not deferrable.
    Urgent,
    /// The request's route is deferrable: another route of the service is more urgent and has a
    /// shorter latency target.
    Deferrable,
}

impl AdmissionClass {
    /// Returns whether waits are estimated for the request's service.
    pub fn is_managed(self) -> bool {
        self != AdmissionClass::Unmanaged
    }
}
