//! Tests of the fakes and the relay in their own processes.

use std::time::Duration;

use dragonflycart_engine::{
    CallFailure, EngineClient, EngineError, HttpEngineClient, HttpServiceClient, ServiceClient,
};
use dragonflycart_testkit::{
    EngineCommand, EngineStats, FakeProcess, FaultCommand, RelayCommand, RelayMode, RelayScope,
};

use crate::fixtures::{call, read_through, read_to_end, request, short_options};

/// Guards against signals and control commands that have no effect on a fake in its own process.
#[tokio::test]
async fn an_engine_process_is_paused_commanded_and_killed() {
    let mut fake = FakeProcess::start("fake_engine", &["--config", r#"{"pace_ms": 1}"#]).unwrap();
    let engine = HttpEngineClient::new(fake.address());
    let mut stream = engine.start(request("g", 1_000_000)).await.unwrap();
    read_through(&mut stream, 0, 9).await;

    fake.process().pause().unwrap();
    let started = engine.start(request("paused", 5)).await;
    assert_eq!(started.unwrap_err(), EngineError::ConnectionLost);
    fake.process().resume().unwrap();
    read_through(&mut stream, 10, 500).await;

    let command = EngineCommand::Leaving { leaving: true };
    fake.post_control("/control/engine", &command).await.unwrap();
    assert!(matches!(engine.start(request("h", 1)).await, Err(EngineError::Refused(_))));
    let stats: EngineStats = fake.get_control("/control/stats").await.unwrap();
    assert_eq!(stats.refused, 1);

    fake.process().kill().unwrap();
    assert_eq!(read_to_end(&mut stream).await, Err(EngineError::ConnectionLost));
    assert_eq!(engine.start(request("i", 1)).await.unwrap_err(), EngineError::NotSent);
}

/// Guards against an example program that does not start, or does not exit after
/// `FaultCommand::Die`.
#[tokio::test]
async fn every_example_starts_and_dies_on_command() {
    for example in ["fake_engine", "fake_service", "fake_log", "fake_directory", "fake_weights"] {
        let mut fake = FakeProcess::start(example, &[]).unwrap();
        fake.post_control("/control/fault", &FaultCommand::Die).await.unwrap();
        let mut ended = false;
        for _ in 0..200 {
            ended = fake.process().has_ended().unwrap();
            if ended {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(ended, "{example} still runs");
    }
}

/// Guards against a relay process that ignores its target or its control endpoint.
#[tokio::test]
async fn a_relay_process_cuts_new_connections() {
    let service = FakeProcess::start("fake_service", &[]).unwrap();
    let target = service.address().to_string();
    let relay = FakeProcess::start("fault_relay", &["--target", &target]).unwrap();
    let client = HttpServiceClient::new(relay.address(), short_options());
    client.call(call("r1", "k1")).await.unwrap();
    let cut = RelayCommand { scope: RelayScope::New, mode: RelayMode::Cut };
    relay.post_control("/control/relay", &cut).await.unwrap();
    assert_eq!(client.call(call("r2", "k2")).await, Err(CallFailure::MaybeSent));
}
