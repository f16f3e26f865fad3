//! Clients of all configured backend servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dragonflycart_core::{MonoTime, ServerName, ServiceName, ZoneName};
use dragonflycart_engine::{
    EngineClient, HttpEngineClient, HttpServiceClient, ServiceClient, ServiceOptions,
};
use dragonflycart_settings::Config;

use crate::{
    control::{ControlHandle, ControlMessage, LoadPollResult},
    node_clock::NodeClock,
};

/// Timeout of the first poll of a server. A new VM must be ready within 3 s, even if some servers
/// do not respond.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients of all configured backend servers.
pub(crate) struct ServerDirectory {
    engines: BTreeMap<ServerName, Arc<dyn EngineClient>>,
    services: BTreeMap<ServerName, (ServiceName, Arc<dyn ServiceClient>)>,
    zones: BTreeMap<ServerName, ZoneName>,
    /// Clients for load reports. All backend servers use the engine protocol for them.
    reporters: BTreeMap<ServerName, Arc<dyn EngineClient>>,
}

impl ServerDirectory {
    /// Builds clients for all backend servers in the settings.
    pub(crate) fn new(config: &Config) -> ServerDirectory {
        let mut directory = ServerDirectory {
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            zones: BTreeMap::new(),
            reporters: BTreeMap::new(),
        };
        for (name, settings) in &config.engines {
            let client: Arc<dyn EngineClient> = Arc::new(HttpEngineClient::new(settings.address));
            directory.engines.insert(name.clone(), Arc::clone(&client));
            directory.zones.insert(name.clone(), settings.zone.clone());
            directory.reporters.insert(name.clone(), client);
        }
        for (name, settings) in &config.service_servers {
            let lookup = config.services.get(&settings.service).is_some_and(|s| s.lookup);
            let options = ServiceOptions {
                response_timeout: config.timeouts.call_deadline,
                supports_lookup: lookup,
            };
            let client = HttpServiceClient::new(settings.address, options);
            let entry: (ServiceName, Arc<dyn ServiceClient>) =
                (settings.service.clone(), Arc::new(client));
            directory.services.insert(name.clone(), entry);
            directory.zones.insert(name.clone(), settings.zone.clone());
            let reporter = HttpEngineClient::new(settings.address);
            directory.reporters.insert(name.clone(), Arc::new(reporter));
        }
        directory
    }

    /// Returns the availability zone of a backend server.
    pub(crate) fn zone(&self, name: &ServerName) -> Option<ZoneName> {
        self.zones.get(name).cloned()
    }

    /// Returns the client of an engine.
    pub(crate) fn engine(&self, name: &ServerName) -> Option<Arc<dyn EngineClient>> {
        self.engines.get(name).cloned()
    }

    /// Returns the client of a plain service's server.
    pub(crate) fn service(&self, name: &ServerName) -> Option<Arc<dyn ServiceClient>> {
        self.services.get(name).map(|(_, client)| Arc::clone(client))
    }

    /// Returns the clients of all servers of a plain service.
    pub(crate) fn service_clients(&self, service: &ServiceName) -> Vec<Arc<dyn ServiceClient>> {
        let servers = self.services.values().filter(|(name, _)| name == service);
        servers.map(|(_, client)| Arc::clone(client)).collect()
    }

    /// Starts polling the load of every backend server. The polls are spread over the period, so
    /// that the reports do not arrive in bursts.
    pub(crate) fn start_polls(&self, control: &ControlHandle, clock: NodeClock, period: Duration) {
        let count = self.reporters.len().max(1) as u32;
        for (position, (name, client)) in self.reporters.iter().enumerate() {
            let delay = period * position as u32 / count;
            let poll = poll_forever(
                name.clone(),
                Arc::clone(client),
                control.clone(),
                clock,
                (delay, period),
            );
            tokio::spawn(poll);
        }
    }
}

async fn poll_forever(
    server: ServerName,
    client: Arc<dyn EngineClient>,
    control: ControlHandle,
    clock: NodeClock,
    (delay, period): (Duration, Duration),
) {
    // The first poll is immediate, since a new VM can't place any request before it.
    let mut wait = Duration::ZERO;
    let mut limit = FIRST_POLL_TIMEOUT;
    loop {
        tokio::time::sleep(wait).await;
        let asked_at: MonoTime = clock.now();
        let report = tokio::time::timeout(limit, client.report()).await;
        let report = report.ok().and_then(Result::ok);
        let result = LoadPollResult { server: server.clone(), asked_at, report };
        control.send(ControlMessage::LoadPolled(result)).await;
        wait = if limit == FIRST_POLL_TIMEOUT { delay } else { period };
        limit = period * 2;
    }
}
