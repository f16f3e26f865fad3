//! The command `placement` against real gateway processes.

use std::{net::SocketAddr, process::Output};

use serde_json::Value;
use tokio::process::Command;

use crate::support::GatewayFleet;

/// Runs `dragonflycartctl placement` against a status address, without a credential.
async fn ask(address: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflycartctl"));
    command.env_remove("DRAGONFLYCART_CREDENTIAL").arg("placement").args(args);
    command.arg("--server").arg(address.to_string()).output().await.unwrap()
}

fn parse(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Guards against a command that reaches no gateway, that sends the request which it asks about, or
/// whose exit codes do not tell an unknown route and a VM that has ended apart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn placement_is_explained_by_a_gateway_process() {
    let mut fleet = GatewayFleet::start("placement", 0).await;
    fleet.start_gateways().await;
    let address = fleet.gateways[0].status_address;
    let figures = ["--prompt-tokens", "3000", "--output-tokens", "800", "--json"];

    let stream = ask(address, &[["--route", "reports"].as_slice(), &figures].concat()).await;
    let call = ask(address, &["--method", "POST", "--path", "/book/b", "--team", "studio"]).await;
    let unknown_route = ask(address, &["--route", "none"]).await;
    let unknown_team = ask(address, &["--route", "book", "--team", "none"]).await;
    let runs = fleet.log.ids().len();
    fleet.gateways[0].process.kill().unwrap();
    let ended = ask(address, &["--route", "book"]).await;

    let answer = parse(&stream);
    assert_eq!(answer["outcome"]["kind"], "server", "{answer}");
    assert_eq!(answer["outcome"]["id"], "i-engine", "{answer}");
    assert_eq!(answer["vm"], "vm-0", "{answer}");
    let text = String::from_utf8_lossy(&call.stdout);
    assert!(text.contains("outcome: sent to i-"), "{call:?}");
    assert!(text.contains("route book, service desk"), "{call:?}");
    assert_eq!(runs, 0, "a request was sent");
    let codes = [&stream, &call, &unknown_route, &unknown_team, &ended];
    let codes = codes.map(|output| output.status.code().unwrap());
    assert_eq!(codes, [0, 0, 6, 6, 5]);
    fleet.close();
}
