//! Requests of operators.

use dragonflycart_core::{ErrorKind, OperatingPlan, ServiceError, ZoneState};
use dragonflycart_operator::api::{MovesResponse, SubmitRequest, SubmitResponse};
use log::warn;

use super::ControlLoop;
use crate::{
    admin::{AdminMessage, SubmitReply, ZoneChange},
    control::{
        call_control::StepContext,
        status_view::StatusView,
        submit_control::{check_plan, plan_response},
    },
};

impl ControlLoop {
    pub(super) fn handle_admin(&mut self, message: AdminMessage) {
        let step = self.step_context();
        match message {
            AdminMessage::Plan(reply) => {
                let _ = reply.send(plan_response(&self.plan));
            }
            AdminMessage::Submit(author, request, reply) => {
                if let Err(error) = check_plan(&request.plan, &self.config) {
                    let _ = reply.send(Err(error));
                    return;
                }
                let parts = (&self.plan, &mut self.appends);
                self.submissions.submit(&author, request, reply, parts, step);
            }
            AdminMessage::Submission(id, reply) => {
                let _ = reply.send(self.submissions.outcome(&self.plan, &id));
            }
            AdminMessage::Zone(change, reply) => self.change_zone(change, reply, step),
            AdminMessage::Status(reply) => {
                let _ = reply.send(self.status_view().response());
            }
            AdminMessage::Moves(reply) => {
                let _ = reply.send(MovesResponse { moves: self.status_view().moves() });
            }
            AdminMessage::Burn(reply) => {
                let _ = reply.send(self.burn.snapshot(step.wall));
            }
        }
    }

    /// Changes the state of a zone with a new plan. If the log service is unreachable and the
    /// operator asked for an emergency change, an override takes the zone out of service; it
    /// can't put a zone back into service.
    fn change_zone(&mut self, change: ZoneChange, reply: SubmitReply, step: StepContext) {
        let ZoneChange { author, zone, request } = change;
        let mut plan = OperatingPlan::clone(&self.plan.plan());
        let Some(planned) = plan.zones.get_mut(&zone) else {
            let message = format!("zone: {zone} is not in the plan in effect");
            let _ = reply.send(Err(ServiceError::new(ErrorKind::NotFound, message)));
            return;
        };
        let log_lost = step.log_lost_at.is_some();
        if log_lost && request.emergency && request.state == ZoneState::Out {
            let revision = self.plan.revision();
            self.peers.set_zone_override(&zone, step.wall, revision, author.as_str());
            self.apply_zones();
            warn!("admin: zone taken out without the log service; zone={zone} operator={author}");
            let _ = reply.send(Ok(SubmitResponse::Overridden));
            return;
        }
        planned.state = request.state;
        // A new plan ends all zone overrides, so it must keep the other overridden zones out.
        for (other, planned) in &mut plan.zones {
            if *other != zone && self.peers.zone_is_out(other, self.plan.state()) {
                planned.state = ZoneState::Out;
            }
        }
        let request = SubmitRequest {
            base_revision: request.base_revision,
            submit_id: request.submit_id,
            plan,
        };
        let parts = (&self.plan, &mut self.appends);
        self.submissions.submit(&author, request, reply, parts, step);
    }

    fn status_view(&self) -> StatusView<'_> {
        StatusView {
            config: &self.config,
            identity: &self.identity,
            phase: *self.phase.borrow(),
            placement: &self.placement,
            plan: &self.plan,
            peers: &self.peers,
            versions: &self.versions,
            log_reachable: self.log_lost_at.is_none(),
            now: self.clock.now(),
            wall: self.clock.wall(),
        }
    }
}
