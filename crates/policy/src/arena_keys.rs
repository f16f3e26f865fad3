//! Small `Copy` keys into the arenas of this package.

/// Key of a backend server in a [`ServerTable`](crate::ServerTable).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub(crate) u32);

impl ServerKey {
    /// Builds a key from its position in the arena.
    pub const fn from_index(index: usize) -> ServerKey {
        ServerKey(index as u32)
    }

    /// Returns the position in the arena.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Key of a server pool: the servers of one model version or of one plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub(crate) u32);

/// Key of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(pub u32);

/// Key of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// Key of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub(crate) u32);

/// Number of a request within one VM, assigned at submission and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket(pub u64);
