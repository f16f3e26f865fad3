//! Arrival of requests.

use dragonflycart_core::RouteName;
use dragonflycart_policy::{PlacementRequest, PromptPrefix, RequestTicket};
use rand::RngExt;

use super::{SimEvent, Simulation};
use crate::{
    SimRequest,
    scenario_spec::value_at,
    vm_model::{mono, pool, team_name},
};

/// Shared prefixes per team.
const PREFIXES_PER_TEAM: u64 = 4;
/// Share of a prompt that belongs to a shared prefix.
const PREFIX_SHARE: f64 = 0.5;

impl Simulation {
    pub(super) fn arrive(&mut self) {
        if self.now >= self.spec.duration {
            return;
        }
        let load = value_at(&self.spec.load, self.now);
        let rate = self.capacity * load / 1_000.0;
        let gap = -(1.0 - self.workload.random::<f64>()).ln() / rate;
        self.events.push(self.now + gap, SimEvent::Arrival);
        let request = self.draw_request();
        let (id, vm) = (self.requests.len(), request.vm);
        self.metrics.arrived += 1;
        if request.deadline <= self.spec.duration + self.spec.drain {
            self.metrics.team_demand[request.team] += u64::from(request.length);
        }
        let route = &self.spec.routes[request.route];
        let work = PlacementRequest {
            pool: pool(),
            team: team_name(request.team),
            route: RouteName::new(route.name).expect("the name is valid"),
            class: request.class,
            prompt_tokens: request.prompt,
            max_tokens: route.longest,
            delivered_tokens: 0,
            deadline: Some(mono(request.deadline)),
            idempotent: true,
            prefix: request.prefix.map(|(digest, tokens)| PromptPrefix { digest, tokens }),
        };
        let ticket = self.vms[vm].placement.submit(mono(self.now), work);
        self.vms[vm].requests.insert(ticket, id);
        self.requests.push(SimRequest { ticket, ..request });
        self.tick(vm);
    }

    fn draw_request(&mut self) -> SimRequest {
        let scale = value_at(&self.spec.length_scale, self.now);
        let random = &mut self.workload;
        let team = pick(self.spec.teams.iter().copied(), random.random());
        let number = pick(self.spec.routes.iter().map(|route| route.share), random.random());
        let route = &self.spec.routes[number];
        let prompt = route.draw_prompt(random);
        let shared = random.random_range(0..PREFIXES_PER_TEAM);
        let digest = (team as u64 * 64 + number as u64) * PREFIXES_PER_TEAM + shared;
        SimRequest {
            vm: random.random_range(0..self.spec.vms),
            ticket: RequestTicket(0),
            team,
            route: number,
            class: route.class,
            prompt,
            length: route.draw_length(scale, random),
            prefix: Some((digest, (f64::from(prompt) * PREFIX_SHARE) as u32)),
            submitted: self.now,
            deadline: self.now + route.patience,
            poison: std::mem::take(&mut self.poison_next),
            delivered: 0,
            last_token: None,
            engine: None,
            dispatches: 0,
            ended: false,
        }
    }
}

/// Returns the position of the share that `draw` falls into.
fn pick(shares: impl Iterator<Item = f64>, draw: f64) -> usize {
    let mut below = 0.0;
    let mut last = 0;
    for (position, share) in shares.enumerate() {
        below += share;
        last = position;
        if draw < below {
            break;
        }
    }
    last
}
