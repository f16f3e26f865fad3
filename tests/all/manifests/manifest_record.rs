//! Manifests that the operator wrote, and what they allow.

use std::collections::BTreeSet;

use dragonflycart_standins::ManifestSpec;
use serde_json::Value;
use tokio::time::Instant;

/// Manifest with the numbers of its added routes and of its keys.
#[derive(Debug, Clone, Default)]
pub(crate) struct Manifest {
    pub(crate) version: u64,
    pub(crate) routes: BTreeSet<u64>,
    pub(crate) keys: BTreeSet<u64>,
}

impl Manifest {
    /// Returns the manifest as the operator writes it.
    pub(crate) fn to_json(&self) -> Value {
        let keys = self.keys.iter().map(|key| key_text(*key)).collect();
        let mut json = ManifestSpec { version: self.version, extra_routes: 0, keys }.to_json();
        let routes = json["routes"].as_array_mut().expect("a list of routes");
        for number in &self.routes {
            let mut route = routes[2].clone();
            route["name"] = format!("added-{number}").into();
            route["path_prefix"] = route_prefix(*number).into();
            routes.push(route);
        }
        json
    }

    /// Returns whether the manifest allows this answer to a request.
    pub(crate) fn allows(&self, route: u64, key: u64, status: u16) -> bool {
        match status {
            404 => !self.routes.contains(&route),
            401 | 403 => !self.keys.contains(&key),
            _ => self.routes.contains(&route) && self.keys.contains(&key),
        }
    }
}

pub(crate) fn key_text(number: u64) -> String {
    format!("key-{number}")
}

pub(crate) fn route_prefix(number: u64) -> String {
    format!("/added-{number}/")
}

/// All manifests in order, with the times at which they were sent and confirmed.
#[derive(Debug, Default)]
pub(crate) struct ManifestRecord {
    entries: Vec<(Instant, Instant, Manifest)>,
}

impl ManifestRecord {
    /// Adds a manifest that was sent at `sent` and has just been confirmed.
    pub(crate) fn push(&mut self, sent: Instant, manifest: Manifest) {
        self.entries.push((sent, Instant::now(), manifest));
    }

    /// Returns the manifests that may be in force for a request sent at `sent` and answered at
    /// `answered`: the newest one that was confirmed before `in_force_by`, and all later ones.
    pub(crate) fn allowed(
        &self,
        in_force_by: Instant,
        answered: Instant,
    ) -> &[(Instant, Instant, Manifest)] {
        let first = self.entries.iter().rposition(|(_, confirmed, _)| *confirmed <= in_force_by);
        let end = self.entries.partition_point(|(sent, _, _)| *sent <= answered);
        &self.entries[first.unwrap_or(0).min(end)..end]
    }
}
