//! Counts the results of requests at servers.

use std::time::Duration;

use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::{
    RunEnd, RunKey, ServerKey, VersionMove, VersionMovePhase, VersionRole, versions::OpenRun,
};

impl FleetView {
    /// Records the result of a request that a server answered or whose response was lost. Returns
    /// whether it is bad.
    pub fn note_result(
        &mut self,
        key: ServerKey,
        route: &str,
        is_failure: bool,
        time: Duration,
    ) -> bool {
        let Some(state) = self.servers.get_mut(key) else { return is_failure };
        state.note_response(is_failure, time);
        let time_ms = time.as_secs_f64() * 1_000.0;
        let is_bad = match self.open_move_of(key) {
            Some((version_move, role)) => version_move.note_result(route, role, is_failure, time),
            None => is_failure || self.baselines.usual(route).is_slow_time(time_ms),
        };
        if self.is_unproven(key) {
            return is_bad;
        }
        let baseline = self.baselines.route_mut(route);
        baseline.note_result(is_bad);
        if !is_failure {
            baseline.note_time(time_ms);
        }
        is_bad
    }

    /// Returns the version move of a server's service if it is open, and the server's role in it.
    fn open_move_of(&mut self, server: ServerKey) -> Option<(&mut VersionMove, VersionRole)> {
        let record = &self.servers.get(server)?.record;
        let version_move = self.version_moves.get_mut(&record.service)?;
        let role = version_move.role_of(&record.version);
        (!version_move.phase().is_final()).then_some((version_move, role))
    }

    /// Returns whether a server runs a version that was not proven to be good. Its results must not
    /// become usual.
    fn is_unproven(&self, server: ServerKey) -> bool {
        let Some(state) = self.servers.get(server) else { return false };
        let version_move = self.version_moves.get(&state.record.service);
        version_move.is_some_and(|version_move| {
            version_move.phase() != VersionMovePhase::Completed
                && version_move.role_of(&state.record.version) == VersionRole::New
        })
    }

    /// Records that a request is sent to a server.
    pub fn start_run(&mut self, server: ServerKey, route: &str, now: MonoTime) -> RunKey {
        let route = route.to_owned();
        self.runs.insert(OpenRun { server, route, sent_at: now, load: None, counted: None })
    }

    /// Records that the response to a request has started.
    pub fn note_run_started(&mut self, key: RunKey, now: MonoTime) {
        self.learn_first_event(key, now);
        self.count_run(key, false, now);
    }

    /// Records the average pause between the first events of a stream.
    pub fn note_run_pause(&mut self, key: RunKey, pause: Duration) {
        let Some(run) = self.runs.get(key) else { return };
        let (server, route) = (run.server, run.route.clone());
        let is_slow = self
            .open_move_of(server)
            .is_some_and(|(version_move, _)| version_move.is_slow_pause(&route, pause));
        if !self.is_unproven(server) {
            self.baselines.route_mut(&route).note_pause(pause.as_secs_f64() * 1_000.0);
        }
        if is_slow {
            self.note_late_failure(key);
        }
    }

    /// Records that a request failed at a server.
    pub fn note_run_failure(&mut self, key: RunKey, now: MonoTime) {
        match self.runs.get(key).and_then(|run| run.counted) {
            None => self.count_run(key, true, now),
            Some(false) => self.note_late_failure(key),
            Some(true) => {}
        }
    }

    /// Ends a request at a server.
    pub fn end_run(&mut self, key: RunKey, end: RunEnd, now: MonoTime) {
        match end {
            RunEnd::Good => {
                self.learn_call(key, now);
                self.count_run(key, false, now);
            }
            RunEnd::Failed => self.note_run_failure(key, now),
            RunEnd::Abandoned if self.is_run_overdue(key, now) => self.count_run(key, false, now),
            RunEnd::Refused => self.count_refusal(key),
            RunEnd::Abandoned | RunEnd::Replaced => {}
        }
        self.runs.remove(key);
    }

    /// Counts open requests as slow whose response is overdue, so that a version that never responds
    /// is detected. Returns their number.
    pub fn count_overdue_runs(&mut self, now: MonoTime) -> usize {
        if self.version_moves.values().all(|version_move| version_move.phase().is_final()) {
            return 0;
        }
        let mut overdue: Vec<RunKey> = self.runs.keys().collect();
        overdue.retain(|key| self.is_run_overdue(*key, now));
        for key in &overdue {
            self.count_run(*key, false, now);
        }
        overdue.len()
    }

    /// Returns whether a request in a version move has waited so long that its response will be
    /// slow.
    fn is_run_overdue(&self, key: RunKey, now: MonoTime) -> bool {
        let Some(run) = self.runs.get(key).filter(|run| run.counted.is_none()) else {
            return false;
        };
        let Some(state) = self.servers.get(run.server) else { return false };
        let version_move = self.version_moves.get(&state.record.service);
        version_move.is_some_and(|version_move| {
            !version_move.phase().is_final()
                && version_move.is_slow(&run.route, now.since(run.sent_at))
        })
    }

    /// Counts the result of a request, unless it was counted before.
    fn count_run(&mut self, key: RunKey, is_failure: bool, now: MonoTime) {
        let Some(run) = self.runs.get(key).filter(|run| run.counted.is_none()) else { return };
        let (server, route, time) = (run.server, run.route.clone(), now.since(run.sent_at));
        let is_bad = self.note_result(server, &route, is_failure, time);
        self.runs[key].counted = Some(is_bad);
    }

    /// Counts a bad result of a request that was refused.
    fn count_refusal(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|run| run.counted.is_none()) else { return };
        let (server, route) = (run.server, run.route.clone());
        self.count_bad(server, &route);
    }

    /// Counts a bad result of a request whose response had started in time.
    fn note_late_failure(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key).filter(|run| run.counted == Some(false)) else {
            return;
        };
        run.counted = Some(true);
        let (server, route) = (run.server, run.route.clone());
        let Some(state) = self.servers.get_mut(server) else { return };
        state.note_failure();
        self.count_bad(server, &route);
    }

    /// Counts a bad result without a time.
    fn count_bad(&mut self, server: ServerKey, route: &str) {
        if let Some((version_move, role)) = self.open_move_of(server) {
            version_move.note_bad(route, role);
        }
        if !self.is_unproven(server) {
            self.baselines.route_mut(route).note_result(true);
        }
    }
}
