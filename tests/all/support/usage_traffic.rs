//! Requests of several teams to several gateways.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use dragonflycart_standins::{CallerRequest, RunLog, send};
use tokio::task::{JoinHandle, JoinSet};

use super::usage_run::UsageRun;

/// Teams that send requests. A team's name with a prefix is its API key.
pub(crate) const TEAMS: [&str; 3] = ["blue", "green", "red"];
/// Pause between two requests of all teams.
const REQUEST_PAUSE: Duration = Duration::from_millis(7);
/// Time for which a caller waits.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// State that the task of the callers shares with the test.
#[derive(Default)]
struct TrafficState {
    /// Gateways that get requests.
    open: BTreeMap<usize, SocketAddr>,
    /// Times at which responses were complete, by the ID of the request.
    responses: BTreeMap<String, Instant>,
    is_over: bool,
}

/// Requests of all teams to all gateways in turn, as plain calls and as streams.
pub(crate) struct UsageTraffic {
    state: Arc<Mutex<TrafficState>>,
    task: JoinHandle<()>,
}

impl UsageTraffic {
    /// Begins to send.
    pub(crate) fn start(addresses: &[SocketAddr]) -> UsageTraffic {
        let open = addresses.iter().copied().enumerate().collect();
        let state = Arc::new(Mutex::new(TrafficState { open, ..TrafficState::default() }));
        let task = tokio::spawn(run(Arc::clone(&state)));
        UsageTraffic { state, task }
    }

    /// Sends no further requests to a gateway.
    pub(crate) fn avoid(&self, gateway: usize) {
        self.state.lock().unwrap().open.remove(&gateway);
    }

    /// Sends requests to a gateway again.
    pub(crate) fn use_again(&self, gateway: usize, address: SocketAddr) {
        self.state.lock().unwrap().open.insert(gateway, address);
    }

    /// Ends the requests and returns those that servers began to run.
    pub(crate) async fn stop(self, log: &RunLog) -> Vec<UsageRun> {
        self.state.lock().unwrap().is_over = true;
        self.task.await.unwrap();
        let responses = &self.state.lock().unwrap().responses;
        let mut runs = Vec::new();
        for id in log.ids() {
            let mut fields = id.split('-');
            let (Some(team), Some(gateway)) = (fields.next(), fields.next()) else { continue };
            runs.push(UsageRun {
                team: team.to_owned(),
                gateway: gateway.parse().unwrap(),
                earliest: unix_ms(log.parts(&id)[0].work.start),
                latest: responses.get(&id).map_or(u64::MAX, |at| unix_ms(*at)),
            });
        }
        runs
    }
}

/// Returns Unix time in milliseconds at an earlier time.
fn unix_ms(at: Instant) -> u64 {
    let time = SystemTime::now() - at.elapsed();
    time.duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

async fn run(state: Arc<Mutex<TrafficState>>) {
    let mut callers = JoinSet::new();
    for number in 0.. {
        tokio::time::sleep(REQUEST_PAUSE).await;
        let (gateway, address) = {
            let state = state.lock().unwrap();
            if state.is_over {
                break;
            }
            let turn = number / TEAMS.len() % state.open.len();
            state.open.iter().nth(turn).map(|(gateway, address)| (*gateway, *address)).unwrap()
        };
        let request = request(TEAMS[number % TEAMS.len()], gateway, number);
        let state = Arc::clone(&state);
        callers.spawn(async move {
            if send(address, &request).await.is_complete {
                state.lock().unwrap().responses.insert(request.id, Instant::now());
            }
        });
    }
    while callers.join_next().await.is_some() {}
}

/// Builds a plain call or, at every fourth turn, a request for a short stream.
fn request(team: &str, gateway: usize, number: usize) -> CallerRequest {
    let is_stream = number.is_multiple_of(4);
    CallerRequest {
        id: format!("{team}-{gateway}-{number}"),
        method: "POST",
        path: if is_stream { "/reports/r" } else { "/book/b" }.to_owned(),
        key: format!("key-{team}"),
        tokens: is_stream.then_some((900, 4)),
        inner_parts: Vec::new(),
        body: Bytes::from_static(b"request"),
        time_limit: TIME_LIMIT,
    }
}
