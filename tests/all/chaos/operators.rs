//! Operators that submit plans, and a monitor that checks that no VM goes back to an earlier plan
//! revision.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflycart_core::{OperatingPlan, PlanRevision};
use dragonflycart_operator::api::SubmitResponse;
use hyper::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::support::{Caller, Operator, submit_response, wait_for, zone_name};

/// Time after which an operator abandons a request without a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the monitor reads the VMs' statuses, and its timeout for each.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Accepted plans: the revision, and the concurrency limit of `zone-0`, which tells plans apart.
#[derive(Debug, Default)]
pub(super) struct AcceptedPlans(BTreeMap<u64, u32>);

impl AcceptedPlans {
    /// Merges the plans of another operator; panics if two different plans have the same revision.
    pub(super) fn merge(&mut self, other: AcceptedPlans) {
        for (revision, limit) in other.0 {
            let earlier = self.0.insert(revision, limit);
            assert!(
                earlier.is_none_or(|earlier| earlier == limit),
                "two plans with revision {revision}"
            );
        }
    }

    /// Returns the number of accepted plans.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }
}

/// Submits plans until `stopped`, each based on the plan in effect on a random VM.
pub(super) async fn submit_plans(
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
        let Ok(Some(response)) = tokio::time::timeout(REQUEST_TIMEOUT, request).await else {
            continue;
        };
        if !matches!(response.status, 200 | 202 | 404 | 409) {
            continue;
        }
        if let SubmitResponse::Accepted { revision: PlanRevision(revision) } =
            submit_response(&response)
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
    let response = tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
    let value = response.json();
    let plan: OperatingPlan = serde_json::from_value(value.get("plan")?.clone()).ok()?;
    // A VM that has just started reports an empty plan with revision 0.
    (!plan.zones.is_empty()).then_some((value["revision"].as_u64()?, plan))
}

/// Checks that the plan revision of a VM never decreases within one incarnation.
pub(super) async fn monitor_revisions(admins: Vec<SocketAddr>, stopped: watch::Receiver<bool>) {
    let operator = Operator::new("ops");
    let mut highest: BTreeMap<String, PlanRevision> = BTreeMap::new();
    while !*stopped.borrow() {
        for admin in &admins {
            let result = tokio::time::timeout(POLL_INTERVAL, operator.status(*admin)).await;
            let Ok(Some(status)) = result else { continue };
            let seen = highest.entry(format!("{:?}", status.vm)).or_default();
            assert!(
                status.plan_revision >= *seen,
                "{:?} went back from revision {seen}",
                status.vm
            );
            *seen = status.plan_revision;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until all VMs have the same revision, not below any accepted one, and checks that they
/// have the same plan. If the revision is that of the last plan that was accepted, checks that this
/// plan is in effect.
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
        "different plans with the same revision: {limits:?}"
    );
    if let Some((revision, limit)) = last
        && statuses[0].plan_revision.0 == revision
    {
        assert_eq!(limits[0], limit, "revision {revision} is not the accepted plan");
    }
}
