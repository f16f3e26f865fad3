//! Comparison of the servers for a request.

use dragonflycart_capacity::OutlookCursor;
use dragonflycart_core::ErrorKind;

use super::placement_scope::PlacementScope;
use crate::{ServerKey, ServerState, VersionMove, VersionRole};

/// Server with the lowest score among those considered so far.
pub(super) struct ServerComparison<'a> {
    scope: &'a PlacementScope<'a>,
    /// Version that the server must run, if the service has a version move.
    version: Option<(&'a VersionMove, VersionRole)>,
    fill_limit: Option<f64>,
    outlooks: Option<OutlookCursor<'a, ServerKey>>,
    best: Option<(f64, ServerKey)>,
    is_full: bool,
}

impl<'a> ServerComparison<'a> {
    pub(super) fn new(
        scope: &'a PlacementScope<'a>,
        role: Option<VersionRole>,
        fill_limit: Option<f64>,
    ) -> ServerComparison<'a> {
        ServerComparison {
            scope,
            version: scope.view.version_moves.get(scope.query.service).zip(role),
            fill_limit,
            outlooks: scope.capacity.map(|table| table.outlooks(scope.now)),
            best: None,
            is_full: false,
        }
    }

    /// Considers a server of the request's service.
    pub(super) fn consider(&mut self, key: ServerKey, state: &ServerState) {
        let has_other_role = self.version.is_some_and(|(version_move, role)| {
            version_move.role_of(&state.record.version) != role
        });
        if has_other_role || !self.scope.is_usable(key, state) {
            return;
        }
        if self.fill_limit.is_some_and(|limit| self.scope.fill_with(state) > limit) {
            self.is_full = true;
            return;
        }
        let score = self.score(key, state);
        // Among equal scores, the first server in the order of the view is chosen.
        if self.best.is_none_or(|(lowest, best)| score < lowest || (score == lowest && key < best))
        {
            self.best = Some((score, key));
        }
    }

    /// Returns the lowest score.
    pub(super) fn lowest_score(&self) -> Option<f64> {
        self.best.map(|(score, _)| score)
    }

    /// Returns the chosen server.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if no server has capacity, and [`ErrorKind::NoBackend`] if
    /// none is usable.
    pub(super) fn result(&self) -> Result<ServerKey, ErrorKind> {
        match self.best {
            Some((_, key)) => Ok(key),
            None if self.is_full => Err(ErrorKind::Overloaded),
            None => Err(ErrorKind::NoBackend),
        }
    }

    fn score(&mut self, key: ServerKey, state: &ServerState) -> f64 {
        let outlook = self.outlooks.as_mut().map(|outlooks| outlooks.outlook(key));
        self.scope.score_inputs((key, state), outlook).value(self.scope.query, self.scope.now)
    }
}
