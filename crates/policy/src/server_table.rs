//! Arena of backend servers.

use dragonflycart_core::{ServerName, ZoneName};

use crate::{
    PoolKey, ServerKey, ServerPool, ServerReport, ServerSpec, ServerState, ZoneKey,
    name_index::NameIndex,
};

/// Arena of backend servers with their pools. A server that is removed and added again keeps its
/// key.
#[derive(Debug)]
pub struct ServerTable {
    names: NameIndex<ServerName>,
    servers: Vec<ServerState>,
    zones: NameIndex<ZoneName>,
    pools: NameIndex<ServerPool>,
    /// Servers of each pool, indexed by pool key.
    members: Vec<Vec<ServerKey>>,
    /// Number of changes to pools, used to invalidate derived data.
    changes: u64,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new() -> ServerTable {
        ServerTable {
            names: NameIndex::new(),
            servers: Vec::new(),
            zones: NameIndex::new(),
            pools: NameIndex::new(),
            members: Vec::new(),
            changes: 0,
        }
    }

    /// Adds a server, or adds a removed one again.
    pub fn insert(&mut self, spec: ServerSpec) -> ServerKey {
        let key = ServerKey(self.names.intern(&spec.name));
        let zone = self.zone_key(&spec.zone);
        let service = spec.service.clone();
        if key.index() == self.servers.len() {
            self.servers.push(ServerState::new(spec, zone));
        } else {
            let server = &mut self.servers[key.index()];
            server.spec = spec;
            server.zone = zone;
            server.removed = false;
        }
        if let Some(service) = service {
            let pool = self.pool_key(&ServerPool::Service(service));
            self.set_pools(key, vec![pool]);
        }
        key
    }

    /// Removes a server from all pools. Its running requests are tracked until they end.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers[key.index()].removed = true;
        self.set_pools(key, Vec::new());
    }

    /// Updates the pools of an engine from the models that it reports.
    pub(crate) fn update_pools(&mut self, key: ServerKey, report: &ServerReport) {
        if self.servers[key.index()].spec.service.is_some() {
            return;
        }
        let mut pools = Vec::with_capacity(report.loaded.len());
        for (model, version) in &report.loaded {
            pools.push(self.pool_key(&ServerPool::Generation(model.clone(), version.clone())));
        }
        if self.servers[key.index()].pools != pools {
            self.set_pools(key, pools);
        }
    }

    fn set_pools(&mut self, key: ServerKey, pools: Vec<PoolKey>) {
        self.changes += 1;
        let server = &mut self.servers[key.index()];
        let earlier = std::mem::replace(&mut server.pools, pools);
        for pool in earlier {
            self.members[pool.0 as usize].retain(|member| *member != key);
        }
        for pool in &self.servers[key.index()].pools {
            self.members[pool.0 as usize].push(key);
        }
    }

    /// Returns the key of a pool, which is assigned on first use.
    pub fn pool_key(&mut self, pool: &ServerPool) -> PoolKey {
        let key = PoolKey(self.pools.intern(pool));
        if key.0 as usize == self.members.len() {
            self.members.push(Vec::new());
        }
        key
    }

    /// Returns the key of a pool that was used before.
    pub fn find_pool(&self, pool: &ServerPool) -> Option<PoolKey> {
        self.pools.get(pool).map(PoolKey)
    }

    /// Returns the key of a zone, which is assigned on first use.
    pub fn zone_key(&mut self, zone: &ZoneName) -> ZoneKey {
        ZoneKey(self.zones.intern(zone))
    }

    /// Returns the key of a zone that was used before.
    pub fn find_zone(&self, zone: &ZoneName) -> Option<ZoneKey> {
        self.zones.get(zone).map(ZoneKey)
    }

    /// Returns the pool with a key.
    pub fn pool(&self, key: PoolKey) -> &ServerPool {
        self.pools.name(key.0)
    }

    /// Returns the number of changes to pools.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the servers of a pool.
    pub fn members(&self, pool: PoolKey) -> &[ServerKey] {
        &self.members[pool.0 as usize]
    }

    /// Returns the key of a server by name.
    pub fn find(&self, name: &ServerName) -> Option<ServerKey> {
        self.names.get(name).map(ServerKey)
    }

    /// Returns the number of servers, including removed ones.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the table has no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> &ServerState {
        &self.servers[key.index()]
    }

    pub(crate) fn get_mut(&mut self, key: ServerKey) -> &mut ServerState {
        &mut self.servers[key.index()]
    }
}

impl Default for ServerTable {
    fn default() -> ServerTable {
        ServerTable::new()
    }
}
