//! Generations through the real programs.

use dragonflycart_testkit::TokenSource;

use crate::support::{Caller, Deployment, DeploymentSpec};

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_streams_every_token_once() {
    // Guards against a break anywhere on the path from the caller to the engine and back.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("reports");

    let answer = caller.stream(deployment.vms[0].http, "a report", 50, |_| {}).await.unwrap();

    assert_eq!(answer.indexes, (0..50).collect::<Vec<u64>>());
    assert_eq!(answer.text, TokenSource::expected_text(50));
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_streaming_is_whole() {
    // Guards against an answer that ends before the generation does.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("reports");

    let answer = caller.complete(deployment.vms[1].http, "a report", 30).await.unwrap();

    assert_eq!(answer.status, 200, "{:?}", answer.body);
    let text = answer.json()["choices"][0]["text"].as_str().unwrap().to_owned();
    assert_eq!(text, TokenSource::expected_text(30));
}
