//! Service and nearness of each server.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::{ServerKey, ServerRecord};

/// Properties of a server that a placement checks before all others.
#[derive(Debug, Clone, Copy)]
struct ServerPlace {
    /// Number of its service.
    service: u32,
    /// Whether it is in the zone of this VM.
    is_near: bool,
}

/// Service and nearness of each server. A placement reads them of all servers, and comparing the
/// names in their registrations takes several times as long.
#[derive(Debug, Default)]
pub(super) struct ServerPlaces {
    services: BTreeMap<String, u32>,
    places: SecondaryMap<ServerKey, ServerPlace>,
}

impl ServerPlaces {
    /// Records a server's registration.
    pub(super) fn set(&mut self, key: ServerKey, record: &ServerRecord, own_zone: &str) {
        let service = match self.services.get(&record.service) {
            Some(service) => *service,
            None => {
                let service = self.services.len() as u32;
                self.services.insert(record.service.clone(), service);
                service
            }
        };
        let is_near = record.zone == own_zone;
        self.places.insert(key, ServerPlace { service, is_near });
    }

    /// Forgets a server.
    pub(super) fn remove(&mut self, key: ServerKey) {
        self.places.remove(key);
    }

    /// Returns the servers of a service and whether they are near, in the order of the view.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = (ServerKey, bool)> {
        let service = self.services.get(service).copied();
        let places = self.places.iter().filter(move |(_, place)| Some(place.service) == service);
        places.map(|(key, place)| (key, place.is_near))
    }
}
