//! Calls to plain services through the real programs.

use crate::support::{Caller, Deployment, DeploymentSpec};

#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_once_and_its_answer_can_be_had_again() {
    // Guards against a retry under the same key that runs the booking again at another VM.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("orders");
    let headers = [("idempotency-key", "order-1"), ("x-attempt", "1")];

    let first = caller.call(deployment.vms[0].http, "book", &headers, "{\"drums\":4}").await;
    let headers = [("idempotency-key", "order-1"), ("x-attempt", "2")];
    let second = caller.call(deployment.vms[1].http, "book", &headers, "{\"drums\":4}").await;

    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!(first.status, 200, "{:?}", first.body);
    assert_eq!(second.body, first.body);
    assert_eq!(deployment.executions("order-1"), 1);
}
