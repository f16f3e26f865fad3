//! Arrival of requests.

use dragonflycart_core::RouteName;
use dragonflycart_policy::{PlacementRequest, PromptPrefix, RequestTicket};
use rand::RngExt;

use super::{SimEvent, Simulation};
use crate::{
    SimRequest,
    scenario_spec::value_at,
    vm_model::{mono_time, server_pool, team_name},
};

/// Number of shared prefixes per team and route.
const PREFIXES_PER_TEAM_AND_ROUTE: u64 = 4;
/// Share of a prompt that belongs to a shared prefix.
const PREFIX_SHARE: f64 = 0.5;

impl Simulation {
    pub(super) fn handle_arrival(&mut self) {
        if self.now >= self.spec.duration {
            return;
        }
        let load = value_at(&self.spec.load, self.now);
        let rate = self.capacity * load / 1_000.0;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.events.push(self.now + gap, SimEvent::Arrival);
        let request = self.draw_request();
        let (id, vm) = (self.requests.len(), request.vm);
        self.metrics.arrived += 1;
        if request.deadline <= self.spec.duration + self.spec.drain {
            self.metrics.team_demand[request.team] += u64::from(request.output_length);
        }
        let route = &self.spec.routes[request.route];
        let work = PlacementRequest {
            pool: server_pool(),
            team: team_name(request.team),
            route: RouteName::new(route.name).expect("the name is valid"),
            class: request.class,
            prompt_tokens: request.prompt_length,
            max_tokens: route.max_output,
            delivered_tokens: 0,
            deadline: Some(mono_time(request.deadline)),
            idempotent: true,
            prefix: request.prefix.map(|(digest, tokens)| PromptPrefix { digest, tokens }),
        };
        let ticket = self.vms[vm].scheduler.submit(mono_time(self.now), work);
        self.vms[vm].requests.insert(ticket, id);
        self.requests.push(SimRequest { ticket, ..request });
        self.tick(vm);
    }

    fn draw_request(&mut self) -> SimRequest {
        let scale = value_at(&self.spec.length_scale, self.now);
        let rng = &mut self.rng;
        let team = sample_index(self.spec.team_shares.iter().copied(), rng.random());
        let number = sample_index(self.spec.routes.iter().map(|route| route.share), rng.random());
        let route = &self.spec.routes[number];
        let prompt_length = route.draw_prompt(rng);
        let shared = rng.random_range(0..PREFIXES_PER_TEAM_AND_ROUTE);
        let digest = (team as u64 * 64 + number as u64) * PREFIXES_PER_TEAM_AND_ROUTE + shared;
        SimRequest {
            vm: rng.random_range(0..self.spec.vms),
            ticket: RequestTicket(0),
            team,
            route: number,
            class: route.class,
            prompt_length,
            output_length: route.draw_length(scale, rng),
            prefix: Some((digest, (f64::from(prompt_length) * PREFIX_SHARE) as u32)),
            submitted: self.now,
            deadline: self.now + route.time_to_deadline,
            poison: std::mem::take(&mut self.poison_next),
            delivered: 0,
            last_token: None,
            engine: None,
            dispatches: 0,
            ended: false,
        }
    }
}

/// Returns the index of the share that `draw`, a value between 0 and 1, falls into.
fn sample_index(shares: impl Iterator<Item = f64>, draw: f64) -> usize {
    let mut cumulative = 0.0;
    let mut last = 0;
    for (position, share) in shares.enumerate() {
        cumulative += share;
        last = position;
        if draw < cumulative {
            break;
        }
    }
    last
}
