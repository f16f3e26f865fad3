//! Fixtures for tests of the placement.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{
    Incarnation, ModelName, MonoTime, RouteName, ServerInstance, ServerName, TeamName, VersionName,
    VmOrdinal, ZoneName,
};
use dragonflycart_policy::{
    PlacementDecision, PlacementRequest, PolicySettings, PriorityClass, RequestScheduler,
    RequestTicket, ServerKey, ServerPool, ServerReport, ServerSpec, VmPosition,
};

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub fn zone() -> ZoneName {
    ZoneName::new("jelgava").unwrap()
}

/// Returns settings with no requests beyond a server's limit, so that tests can count exactly.
pub fn settings(ordinal_counts: u16) -> PolicySettings {
    let ordinal_counts = BTreeMap::from([(zone(), ordinal_counts)]);
    PolicySettings { ordinal_counts, queue_depth: 0, ..PolicySettings::default() }
}

pub fn position(ordinal: u16) -> VmPosition {
    VmPosition { zone: zone(), ordinal: VmOrdinal(ordinal), incarnation: Incarnation(1) }
}

pub fn pool() -> ServerPool {
    ServerPool::Generation(ModelName::new("draft").unwrap(), VersionName::new("v1").unwrap())
}

/// Builds the placement of the only VM of a deployment, with `servers` servers in one open zone.
pub fn single_vm(settings: PolicySettings, servers: usize) -> (RequestScheduler, Vec<ServerKey>) {
    let mut engine = RequestScheduler::new(settings, position(0), at(0)).unwrap();
    engine.set_zone(at(0), &zone(), true, 1_000_000);
    let mut keys = Vec::new();
    for number in 0..servers {
        let name = ServerName::new(&format!("engine-{number}")).unwrap();
        keys.push(engine.insert_server(ServerSpec { name, zone: zone(), service: None }));
    }
    (engine, keys)
}

/// Builds the report of a warm, empty server.
pub fn report(taken_at: MonoTime) -> ServerReport {
    ServerReport {
        taken_at,
        instance: ServerInstance(1),
        cold: false,
        concurrency_limit: 32,
        leaving: false,
        running: 0,
        waiting: 0,
        memory_used_tokens: 0,
        memory_total_tokens: 100_000,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        loaded: vec![(ModelName::new("draft").unwrap(), VersionName::new("v1").unwrap())],
    }
}

pub fn request(team: &str) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        team: TeamName::new(team).unwrap(),
        route: RouteName::new("classify").unwrap(),
        class: PriorityClass::Interactive,
        prompt_tokens: 100,
        max_tokens: 1_000,
        delivered_tokens: 0,
        deadline: None,
        idempotent: true,
        prefix: None,
    }
}

/// Returns the servers that a ticket was dispatched to.
pub fn dispatches(decisions: &[PlacementDecision]) -> Vec<(RequestTicket, ServerKey)> {
    let mut found = Vec::new();
    for decision in decisions {
        if let PlacementDecision::Dispatch { ticket, server, .. } = decision {
            found.push((*ticket, *server));
        }
    }
    found
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
