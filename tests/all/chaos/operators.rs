//! Operators that submit plans, and a monitor of the revisions in effect; no VM goes back.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflycart_core::{OperatingPlan, PlanRevision};
use dragonflycart_operator::api::SubmitResponse;
use hyper::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::support::{Caller, Operator, submit_answer, wait_for, zone_name};

/// Time after which an operator gives a submission up without an answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Interval between two looks of the monitor.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Accepted plans: revision and the carry limit that identifies the content.
#[derive(Debug, Default)]
pub(super) struct AcceptedPlans(BTreeMap<u64, u32>);

impl AcceptedPlans {
    /// Merges the plans of another operator. Two contents of one revision are a fault.
    pub(super) fn merge(&mut self, other: AcceptedPlans) {
        for (revision, limit) in other.0 {
            let earlier = self.0.insert(revision, limit);
            assert!(earlier.is_none_or(|earlier| earlier == limit), "two plans of {revision}");
        }
    }

    /// Returns the number of accepted plans.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }
}

/// Submits plans until `stopped`, each on the base that a VM shows.
pub(super) async fn submit(
    admins: Vec<SocketAddr>,
    name: &'static str,
    first_limit: u32,
    mut rng: ChaCha8Rng,
    stopped: watch::Receiver<bool>,
) -> AcceptedPlans {
    let operator = Operator::new(name);
    let mut accepted = AcceptedPlans::default();
    let mut limit = first_limit;
    while !*stopped.borrow() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(200..800))).await;
        let admin = admins[rng.random_range(0..admins.len())];
        let Some((revision, mut plan)) = current_plan(name, admin).await else { continue };
        limit += 1;
        plan.zones.get_mut(&zone_name(0)).unwrap().concurrency_limit = limit;
        let admin = admins[rng.random_range(0..admins.len())];
        let request = operator.try_submit(admin, revision, &plan);
        let Ok(Some(answer)) = tokio::time::timeout(PATIENCE, request).await else { continue };
        if !matches!(answer.status, 200 | 202 | 404 | 409) {
            continue;
        }
        if let SubmitResponse::Accepted { revision: PlanRevision(revision) } =
            submit_answer(&answer)
        {
            accepted.merge(AcceptedPlans(BTreeMap::from([(revision, limit)])));
        }
    }
    accepted
}

/// Reads the plan in effect on a VM.
async fn current_plan(name: &str, admin: SocketAddr) -> Option<(u64, OperatingPlan)> {
    let caller = Caller::new(name);
    let request = caller.send(Method::GET, admin, dragonflycart_operator::api::PLAN_PATH, &[], "");
    let answer = tokio::time::timeout(PATIENCE, request).await.ok()?.ok()?;
    let value = answer.json();
    let plan: OperatingPlan = serde_json::from_value(value.get("plan")?.clone()).ok()?;
    // A VM that has just started shows an empty plan of revision 0.
    (!plan.zones.is_empty()).then_some((value["revision"].as_u64()?, plan))
}

/// Watches that the revision of no incarnation goes back.
pub(super) async fn monitor(admins: Vec<SocketAddr>, stopped: watch::Receiver<bool>) {
    let operator = Operator::new("ops");
    let mut highest: BTreeMap<String, PlanRevision> = BTreeMap::new();
    while !*stopped.borrow() {
        for admin in &admins {
            let look = tokio::time::timeout(LOOK_PERIOD, operator.status(*admin)).await;
            let Ok(Some(status)) = look else { continue };
            let seen = highest.entry(format!("{:?}", status.vm)).or_default();
            assert!(status.plan_revision >= *seen, "{:?} went back from {seen}", status.vm);
            *seen = status.plan_revision;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

/// Waits until all VMs have the same revision, not below any accepted one, and checks that the
/// content of the last accepted plan is in effect if it is the newest.
pub(super) async fn check_agreement(admins: &[SocketAddr], accepted: &AcceptedPlans) {
    let operator = Operator::new("ops");
    let last = accepted.0.last_key_value().map(|(revision, limit)| (*revision, *limit));
    let statuses = wait_for("all VMs to have the same plan", || async {
        let mut statuses = Vec::new();
        for admin in admins {
            statuses.push(operator.status(*admin).await?);
        }
        let revision = statuses[0].plan_revision;
        let same = statuses.iter().all(|status| status.plan_revision == revision);
        (same && last.is_none_or(|(last, _)| revision.0 >= last)).then_some(statuses)
    })
    .await;
    let limits: Vec<u32> =
        statuses.iter().map(|status| status.zones[&zone_name(0)].concurrency_limit).collect();
    assert!(
        limits.windows(2).all(|pair| pair[0] == pair[1]),
        "one revision, two plans: {limits:?}"
    );
    if let Some((revision, limit)) = last
        && statuses[0].plan_revision.0 == revision
    {
        assert_eq!(limits[0], limit, "revision {revision} is not the accepted plan");
    }
}
