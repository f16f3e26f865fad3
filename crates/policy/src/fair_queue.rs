//! Weighted fair queueing between priority classes and teams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dragonflycart_core::MonoTime;

use crate::{PriorityClass, RequestTicket, TeamKey};

/// Units of virtual time per token at weight 1. Large enough to keep the rounding errors of the
/// division by a weight small.
const TICKS_PER_TOKEN: u64 = 1_024;
/// Number of requests per team that are offered when the first one can't be placed, so that a long
/// request doesn't block short ones of the same team.
const LOOKAHEAD: usize = 4;
/// Number of teams per class whose requests are offered in one search. Bounds the time of a search.
const TEAMS_OFFERED: usize = 16;

/// Request in a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Ticket of the request.
    pub ticket: RequestTicket,
    /// Team.
    pub team: TeamKey,
    /// Priority class.
    pub class: PriorityClass,
    /// Expected cost in tokens.
    pub cost: u32,
    /// Time after which the request must not be started.
    pub deadline: Option<MonoTime>,
}

/// Start and finish tag of a class or team in virtual time.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceTags {
    start: u64,
    finish: u64,
}

impl ServiceTags {
    /// Advances the tags by the cost of one request.
    fn charge(&mut self, cost: u32, weight: u32) {
        self.finish = self.start + u64::from(cost) * TICKS_PER_TOKEN / u64::from(weight.max(1));
        self.start = self.finish;
    }
}

#[derive(Debug, Default)]
struct TeamFlow {
    requests: VecDeque<QueuedRequest>,
    tags: ServiceTags,
}

#[derive(Debug, Default)]
struct ClassFlow {
    teams: BTreeMap<TeamKey, TeamFlow>,
    /// Teams with queued requests, ordered by start tag.
    order: BTreeSet<(u64, TeamKey)>,
    virtual_time: u64,
    tags: ServiceTags,
    length: usize,
}

/// Start-time fair queue with two levels: classes share by weight, and teams within a class share
/// by weight. It is work-conserving: within the bounds of a search, any queued request that the
/// caller can place is found.
#[derive(Debug)]
pub struct FairQueue {
    classes: [ClassFlow; 3],
    class_weights: [u32; 3],
    team_weights: BTreeMap<TeamKey, u32>,
    virtual_time: u64,
    deadlines: BTreeSet<(MonoTime, RequestTicket)>,
    /// Class and team of each queued request.
    locations: BTreeMap<RequestTicket, (PriorityClass, TeamKey)>,
}

impl FairQueue {
    /// Creates an empty queue with the weights of the classes.
    pub fn new(class_weights: [u32; 3]) -> FairQueue {
        FairQueue {
            classes: [ClassFlow::default(), ClassFlow::default(), ClassFlow::default()],
            class_weights,
            team_weights: BTreeMap::new(),
            virtual_time: 0,
            deadlines: BTreeSet::new(),
            locations: BTreeMap::new(),
        }
    }

    /// Sets the weight of a team.
    pub fn set_team_weight(&mut self, team: TeamKey, weight: u32) {
        self.team_weights.insert(team, weight.max(1));
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of queued requests of a team, over all classes.
    pub fn team_len(&self, team: TeamKey) -> usize {
        let mut length = 0;
        for class in &self.classes {
            length += class.teams.get(&team).map_or(0, |flow| flow.requests.len());
        }
        length
    }

    /// Returns the number of teams that have queued requests.
    pub fn team_count(&self) -> usize {
        let mut teams = BTreeSet::new();
        for class in &self.classes {
            for (_, team) in &class.order {
                teams.insert(*team);
            }
        }
        teams.len()
    }

    /// Returns the first request of a class in fair order.
    pub fn first_of(&self, class: PriorityClass) -> Option<&QueuedRequest> {
        let flows = &self.classes[class as usize];
        let (_, team) = flows.order.first()?;
        flows.teams.get(team)?.requests.front()
    }

    /// Adds a request to the end of its team's queue.
    pub fn push(&mut self, request: QueuedRequest) {
        self.insert(request, false);
    }

    /// Returns a request that was already started to the front of its team's queue.
    pub fn push_front(&mut self, request: QueuedRequest) {
        self.insert(request, true);
    }

    fn insert(&mut self, request: QueuedRequest, front: bool) {
        let root_time = self.virtual_time;
        let class = &mut self.classes[request.class as usize];
        if class.length == 0 {
            class.tags.start = class.tags.finish.max(root_time);
        }
        class.length += 1;
        let flow = class.teams.entry(request.team).or_default();
        if flow.requests.is_empty() {
            flow.tags.start = flow.tags.finish.max(class.virtual_time);
            class.order.insert((flow.tags.start, request.team));
        }
        if front {
            flow.requests.push_front(request);
        } else {
            flow.requests.push_back(request);
        }
        if let Some(deadline) = request.deadline {
            self.deadlines.insert((deadline, request.ticket));
        }
        self.locations.insert(request.ticket, (request.class, request.team));
    }

    /// Offers queued requests in fair order, and removes and returns the first one that `accept`
    /// accepts.
    pub fn pop_with(
        &mut self,
        mut accept: impl FnMut(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let mut order = PriorityClass::ALL;
        order.sort_by_key(|class| self.classes[*class as usize].tags.start);
        let mut found = None;
        'search: for class in order {
            let flows = &self.classes[class as usize];
            for (_, team) in flows.order.iter().take(TEAMS_OFFERED) {
                let requests = &flows.teams[team].requests;
                for (position, request) in requests.iter().take(LOOKAHEAD).enumerate() {
                    if accept(request) {
                        found = Some((class, *team, position));
                        break 'search;
                    }
                }
            }
        }
        let (class, team, position) = found?;
        let request = self.take(class, team, position);
        self.charge_start(&request);
        Some(request)
    }

    /// Charges a request that is about to start to its class and team, and advances virtual time.
    fn charge_start(&mut self, request: &QueuedRequest) {
        let team_weight = self.team_weights.get(&request.team).copied().unwrap_or(1);
        let class_weight = self.class_weights[request.class as usize];
        let class = &mut self.classes[request.class as usize];
        self.virtual_time = self.virtual_time.max(class.tags.start);
        class.tags.charge(request.cost, class_weight);
        let Some(flow) = class.teams.get_mut(&request.team) else {
            return;
        };
        class.virtual_time = class.virtual_time.max(flow.tags.start);
        let queued = class.order.remove(&(flow.tags.start, request.team));
        flow.tags.charge(request.cost, team_weight);
        if queued {
            class.order.insert((flow.tags.start, request.team));
        }
    }

    /// Corrects the charge for a finished request to its actual cost.
    pub fn correct(&mut self, class: PriorityClass, team: TeamKey, charged: u32, actual: u32) {
        let weight = u64::from(self.team_weights.get(&team).copied().unwrap_or(1));
        let flows = &mut self.classes[class as usize];
        let Some(flow) = flows.teams.get_mut(&team) else {
            return;
        };
        let queued = flows.order.remove(&(flow.tags.start, team));
        let earlier = flow.tags.start;
        if actual >= charged {
            flow.tags.start += u64::from(actual - charged) * TICKS_PER_TOKEN / weight;
        } else {
            let refund = u64::from(charged - actual) * TICKS_PER_TOKEN / weight;
            // A refund must not give a team credit for time in which it had no queued requests.
            flow.tags.start = earlier.saturating_sub(refund).max(flows.virtual_time.min(earlier));
        }
        flow.tags.finish = flow.tags.start;
        if queued {
            flows.order.insert((flow.tags.start, team));
        }
    }

    /// Removes a queued request without charging it.
    pub fn remove(&mut self, ticket: RequestTicket) -> Option<QueuedRequest> {
        let (class, team) = *self.locations.get(&ticket)?;
        let flow = self.classes[class as usize].teams.get(&team)?;
        let position = flow.requests.iter().position(|request| request.ticket == ticket)?;
        Some(self.take(class, team, position))
    }

    /// Removes and returns a request whose deadline has passed, if there is one.
    pub fn pop_expired(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        let (deadline, ticket) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Returns the team with the most queued requests and its last request.
    pub fn longest_team(&self) -> Option<(TeamKey, QueuedRequest)> {
        let mut longest: Option<(usize, TeamKey, QueuedRequest)> = None;
        for class in &self.classes {
            for (_, team) in &class.order {
                let requests = &class.teams[team].requests;
                let Some(last) = requests.back() else {
                    continue;
                };
                if longest.is_none_or(|(length, _, _)| requests.len() > length) {
                    longest = Some((requests.len(), *team, *last));
                }
            }
        }
        longest.map(|(_, team, request)| (team, request))
    }

    fn take(&mut self, class: PriorityClass, team: TeamKey, position: usize) -> QueuedRequest {
        let flows = &mut self.classes[class as usize];
        let flow = flows.teams.get_mut(&team).expect("a queued request has a team");
        let request = flow.requests.remove(position).expect("the position was found in the team");
        flows.length -= 1;
        if flow.requests.is_empty() {
            flows.order.remove(&(flow.tags.start, team));
            flow.tags.finish = flow.tags.start;
        }
        if flows.length == 0 {
            flows.tags.finish = flows.tags.start;
        }
        if let Some(deadline) = request.deadline {
            self.deadlines.remove(&(deadline, request.ticket));
        }
        self.locations.remove(&request.ticket);
        request
    }
}
