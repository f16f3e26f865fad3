//! Shares of new requests that go to the new version.

use std::collections::BTreeMap;

use dragonflycart_core::{MoveId, RequestKey, RouteName};
use sha2::{Digest, Sha256};

use crate::VersionRole;

/// Shares of new requests that go to the new version, per route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MoveShares {
    /// Share of all requests, and of routes without an entry in `routes`.
    pub overall: f64,
    /// Share per route.
    pub routes: BTreeMap<RouteName, f64>,
}

impl MoveShares {
    /// Returns shares in which all routes have the same share.
    pub fn uniform(share: f64) -> MoveShares {
        MoveShares { overall: share, routes: BTreeMap::new() }
    }

    /// Returns the share of a route.
    pub fn share(&self, route: &RouteName) -> f64 {
        self.routes.get(route).copied().unwrap_or(self.overall)
    }

    /// Returns the version for a request.
    ///
    /// For each move, a request key hashes to a position between 0 and 1 that is the same on every
    /// VM. The request goes to the new version if its position is below the share. A retry
    /// therefore gets the same version unless the share has crossed the position in the meantime.
    pub fn assign(&self, move_id: &MoveId, route: &RouteName, key: &RequestKey) -> VersionRole {
        let share = self.share(route);
        if share > 0.0 && MoveShares::position(move_id, key) < share {
            VersionRole::New
        } else {
            VersionRole::Old
        }
    }

    /// Returns the position of a request key between 0 and 1.
    fn position(move_id: &MoveId, key: &RequestKey) -> f64 {
        let mut hasher = Sha256::new();
        hasher.update((move_id.0.len() as u64).to_be_bytes());
        hasher.update(move_id.0.as_bytes());
        hasher.update(key.as_str().as_bytes());
        let digest = hasher.finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        // The upper 53 bits fit the mantissa of an `f64` exactly.
        (u64::from_be_bytes(head) >> 11) as f64 / (1u64 << 53) as f64
    }
}
