//! Places requests and counts how they end.

use dragonflycart_core::{ErrorKind, MonoTime, ServiceError, TeamName, VersionName, WallTime};
use dragonflycart_policy::{
    AttemptFailure, MoveCounts, PlacementRequest, PriorityClass, RequestTicket, ServerPool,
};

use super::{ControlLoop, SLOW_FIRST_TOKEN, SLOW_TOKEN_GAP, TrackedRequest, UNANSWERED_LIMIT};
use crate::control::{
    AttemptPace, AttemptReport, CallPlacementRequest, GenerationPlacementRequest, LoadPollResult,
    PlacedGeneration, PlacementTicket,
};

impl ControlLoop {
    pub(super) fn place_generation(
        &mut self,
        ask: GenerationPlacementRequest,
    ) -> Result<PlacedGeneration, ServiceError> {
        let now = self.clock.now();
        let can_serve = |version: &VersionName| {
            let pool = ServerPool::Generation(ask.model.clone(), version.clone());
            self.placement.scheduler().can_serve(&pool, now)
        };
        let chosen = self.versions.choose(&ask.model, &ask.route, &ask.key, can_serve);
        let Some(version) = chosen else {
            let message = format!("model {}: the plan in effect places no version", ask.model);
            return Err(ServiceError::new(ErrorKind::NotFound, message));
        };
        let class = self.class_of(&ask.team);
        let pool = ServerPool::Generation(ask.model.clone(), version.clone());
        let request = PlacementRequest {
            pool,
            team: ask.team,
            route: ask.route.clone(),
            class,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            delivered_tokens: 0,
            deadline: Some(ask.deadline),
            idempotent: true,
            prefix: None,
        };
        let (ticket, notices) = self.placement.submit(self.clock.now(), request);
        let forced_prefix =
            self.config.models.get(&ask.model).is_some_and(|model| model.forced_prefix);
        let tracked = TrackedRequest {
            model: ask.model,
            version: version.clone(),
            route: ask.route,
            sent_at: None,
            progress_at: None,
            counted: false,
        };
        self.running.insert(ticket, tracked);
        Ok(PlacedGeneration {
            ticket: PlacementTicket { ticket, notices },
            version,
            priority: class.engine_priority(),
            forced_prefix,
        })
    }

    pub(super) fn place_call(&mut self, ask: CallPlacementRequest) -> PlacementTicket {
        let class = self.class_of(&ask.team);
        let request = PlacementRequest {
            pool: ServerPool::Service(ask.service),
            team: ask.team,
            route: ask.operation,
            class,
            prompt_tokens: 0,
            max_tokens: 0,
            delivered_tokens: 0,
            deadline: Some(ask.deadline),
            idempotent: ask.idempotent,
            prefix: None,
        };
        let (ticket, notices) = self.placement.submit(self.clock.now(), request);
        PlacementTicket { ticket, notices }
    }

    /// Passes on the placement decisions that are due.
    pub(super) fn run_placement(&mut self, now: MonoTime) {
        let wall = self.clock.wall();
        for (ticket, is_granted) in self.placement.tick(now) {
            let Some(tracked) = self.running.get_mut(&ticket) else {
                continue;
            };
            tracked.sent_at = is_granted.then_some(wall);
            tracked.progress_at = None;
        }
    }

    pub(super) fn apply_load_poll(&mut self, mut poll: LoadPollResult, now: MonoTime) {
        if let Some(report) = &mut poll.report {
            self.orders.note_report(&poll.server, poll.asked_at, report);
        }
        self.placement.apply_load_poll(now, poll);
    }

    /// Counts open requests as slow whose next tokens are overdue, so that a version that stops
    /// producing them is detected.
    pub(super) fn count_unanswered(&mut self, wall: WallTime) {
        let mut slow = Vec::new();
        for (ticket, tracked) in &self.running {
            let last_sign = tracked.progress_at.or(tracked.sent_at);
            let overdue = last_sign.is_some_and(|at| wall.since(at) > UNANSWERED_LIMIT);
            if overdue && !tracked.counted {
                slow.push(*ticket);
            }
        }
        for ticket in slow {
            self.count_version(ticket, MoveCounts { finished: 1, failed: 0, slow: 1 });
        }
    }

    fn class_of(&self, team: &TeamName) -> PriorityClass {
        let priority = self.config.teams.get(team).map(|settings| settings.priority);
        match priority {
            Some(dragonflycart_settings::PriorityClass::High) => PriorityClass::Interactive,
            Some(dragonflycart_settings::PriorityClass::Low) => PriorityClass::Batch,
            _ => PriorityClass::Standard,
        }
    }

    pub(super) fn end_attempt(&mut self, ticket: RequestTicket, report: AttemptReport) {
        let now = self.clock.now();
        match report {
            AttemptReport::Finished { tokens, pace } => {
                self.placement.finished(now, ticket, tokens);
                let slow = u64::from(is_slow(pace));
                self.count_version(ticket, MoveCounts { finished: 1, failed: 0, slow });
                self.running.remove(&ticket);
            }
            AttemptReport::Failed(failure) => {
                self.placement.failed(now, ticket, failure);
                if matches!(failure, AttemptFailure::Failed | AttemptFailure::ServerLost) {
                    self.count_version(ticket, MoveCounts { finished: 0, failed: 1, slow: 0 });
                }
                if let Some(tracked) = self.running.get_mut(&ticket) {
                    tracked.sent_at = None;
                    tracked.progress_at = None;
                }
            }
            AttemptReport::Cancelled(pace) => {
                self.placement.cancel(now, ticket);
                if is_slow(pace) || self.has_waited_long(ticket) {
                    self.count_version(ticket, MoveCounts { finished: 1, failed: 0, slow: 1 });
                }
                self.running.remove(&ticket);
            }
        }
    }

    /// Returns whether a request has no token although its first one would be slow by now.
    fn has_waited_long(&self, ticket: RequestTicket) -> bool {
        let Some(tracked) = self.running.get(&ticket) else {
            return false;
        };
        let wall = self.clock.wall();
        let sent_at = tracked.sent_at.filter(|_| tracked.progress_at.is_none());
        sent_at.is_some_and(|at| wall.since(at) > SLOW_FIRST_TOKEN)
    }

    fn count_version(&mut self, ticket: RequestTicket, counts: MoveCounts) {
        let wall = self.clock.wall();
        let Some(tracked) = self.running.get_mut(&ticket) else {
            return;
        };
        let Some(sent_at) = tracked.sent_at else {
            return;
        };
        if std::mem::replace(&mut tracked.counted, true) {
            return;
        }
        let times = (sent_at, wall);
        self.versions.count(&tracked.model, &tracked.version, &tracked.route, counts, times);
    }
}

fn is_slow(pace: AttemptPace) -> bool {
    pace.first_token.is_some_and(|span| span > SLOW_FIRST_TOKEN)
        || pace.token_gap.is_some_and(|span| span > SLOW_TOKEN_GAP)
}
