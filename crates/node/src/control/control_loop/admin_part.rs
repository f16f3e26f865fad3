//! What operators ask of the control thread.

use dragonflycart_core::{ErrorKind, OperatingPlan, ServiceError, ZoneState};
use dragonflycart_operator::api::{MovesResponse, SubmitRequest, SubmitResponse};
use log::warn;

use super::ControlLoop;
use crate::{
    admin::{AdminMessage, SubmitReply, ZoneChange},
    control::{
        call_control::CallMoment,
        status_view::StatusView,
        submit_control::{check_plan, plan_answer},
    },
};

impl ControlLoop {
    pub(super) fn admin(&mut self, message: AdminMessage) {
        let moment = self.moment();
        match message {
            AdminMessage::Plan(reply) => {
                let _ = reply.send(plan_answer(&self.plan));
            }
            AdminMessage::Submit(author, request, reply) => {
                if let Err(error) = check_plan(&request.plan, &self.config) {
                    let _ = reply.send(Err(error));
                    return;
                }
                let parts = (&self.plan, &mut self.appends);
                self.submissions.submit(&author, request, reply, parts, moment);
            }
            AdminMessage::Submission(id, reply) => {
                let _ = reply.send(self.submissions.outcome(&self.plan, &id));
            }
            AdminMessage::Zone(change, reply) => self.change_zone(change, reply, moment),
            AdminMessage::Status(reply) => {
                let _ = reply.send(self.status_view().answer());
            }
            AdminMessage::Moves(reply) => {
                let _ = reply.send(MovesResponse { moves: self.status_view().moves() });
            }
            AdminMessage::Burn(reply) => {
                let _ = reply.send(self.burn.snapshot(moment.wall));
            }
        }
    }

    /// Changes the state of a zone by a plan, or by a latch if the log service does not answer
    /// and the operator asked for it. A latch can only take a zone out.
    fn change_zone(&mut self, change: ZoneChange, reply: SubmitReply, moment: CallMoment) {
        let ZoneChange { author, zone, request } = change;
        let mut plan = OperatingPlan::clone(&self.plan.plan());
        let Some(planned) = plan.zones.get_mut(&zone) else {
            let message = format!("zone: {zone} is not in the plan in effect");
            let _ = reply.send(Err(ServiceError::new(ErrorKind::NotFound, message)));
            return;
        };
        let log_lost = moment.log_lost_at.is_some();
        if log_lost && request.emergency && request.state == ZoneState::Out {
            let revision = self.plan.revision();
            self.peers.set_zone_override(&zone, moment.wall, revision, author.as_str());
            self.apply_zones();
            warn!(
                "admin: zone is taken out without the log service; zone={zone} operator={author}"
            );
            let _ = reply.send(Ok(SubmitResponse::Overridden));
            return;
        }
        planned.state = request.state;
        // The new plan states every zone, which ends latches; those of other zones stay out.
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
        self.submissions.submit(&author, request, reply, parts, moment);
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
