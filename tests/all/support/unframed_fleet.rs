//! Fixture: gateways with engines whose streams end with their connection.

use std::time::{Duration, Instant};

use dragonflycart_standins::{
    CallerResponse, EngineRun, FinalCopy, ManifestSpec, ResumptionFault, UnframedEngine,
    UnframedOptions, WorkSpan, send,
};
use dragonflycart_testkit::{FaultRelay, RelayCommand, RelayMode, RelayScope};
use tokio::task::JoinHandle;

use super::GatewayFleet;

/// Service of the engines.
const SERVICE: &str = "unframed";
/// Interval at which the engines renew their registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Interval between two looks at the engines.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for a condition of the engines.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from the announcement of an engine's exit to the exit.
pub(crate) const NOTICE: Duration = Duration::from_millis(2_000);
/// Output of a stream, which an engine generates in four seconds.
pub(crate) const OUTPUT_TOKENS: u64 = 1_600;
/// ID of the last event of a stream.
pub(crate) const LAST_EVENT: u64 = 399;
/// Time for which two engines may work on a request.
pub(crate) const OVERLAP_ALLOWED: Duration = Duration::from_millis(400);
/// Silence after which a stream goes on at another engine: four times the route's pause target.
pub(crate) const STALL_TIME: Duration = Duration::from_millis(720);
/// Time by which a stream that an engine runs has begun.
const START_TIME: Duration = Duration::from_millis(500);

/// Gateways with engines: one that runs a stream, one that is chosen for its backup copy, and one or
/// more to which the stream can be moved.
pub(crate) struct UnframedFleet {
    fleet: GatewayFleet,
    pub(crate) engines: Vec<UnframedEngine>,
    /// Relays before the engines, if their connections are to be faulted.
    relays: Vec<FaultRelay>,
    sequence: u64,
}

impl UnframedFleet {
    /// Starts engines that hold no backup copies.
    pub(crate) async fn start(name: &str, final_copy: FinalCopy) -> UnframedFleet {
        let options = UnframedOptions {
            final_copy,
            keeps_backups: false,
            drops_requests: true,
            resumption_fault: ResumptionFault::None,
        };
        UnframedFleet::start_with(name, options, 3, 0.0).await
    }

    /// Starts three engines that hold backup copies and go on to work on requests whose connection
    /// closes.
    pub(crate) async fn start_with_backups(name: &str, fault: ResumptionFault) -> UnframedFleet {
        UnframedFleet::start_with(name, backup_options(fault), 3, 0.0).await
    }

    /// Starts the same with a relay before each engine.
    pub(crate) async fn start_behind_relays(name: &str, fault: ResumptionFault) -> UnframedFleet {
        UnframedFleet::start_all(name, backup_options(fault), 3, 0.0, true).await
    }

    /// Starts three engines that hold no backup copies, with a relay before each one.
    pub(crate) async fn start_without_backups_behind_relays(name: &str) -> UnframedFleet {
        let options =
            UnframedOptions { keeps_backups: false, ..backup_options(ResumptionFault::None) };
        UnframedFleet::start_all(name, options, 3, 0.0, true).await
    }

    /// Starts some engines, of which cold ones may get `cold_rate` requests per second.
    pub(crate) async fn start_with(
        name: &str,
        options: UnframedOptions,
        engine_count: usize,
        cold_rate: f64,
    ) -> UnframedFleet {
        UnframedFleet::start_all(name, options, engine_count, cold_rate, false).await
    }

    async fn start_all(
        name: &str,
        options: UnframedOptions,
        engine_count: usize,
        cold_rate: f64,
        has_relays: bool,
    ) -> UnframedFleet {
        let fleet = GatewayFleet::start(name, 0).await;
        let (mut engines, mut relays) = (Vec::new(), Vec::new());
        for _ in 0..engine_count {
            let engine = UnframedEngine::start(options).await;
            if has_relays {
                relays.push(FaultRelay::start(engine.address()).await.unwrap());
            }
            engines.push(engine);
        }
        let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
        let plan = plan.to_json().to_string().replace("\"engines\"", &format!("\"{SERVICE}\""));
        let plan = plan.replace("\"cold_per_s\":0.0", &format!("\"cold_per_s\":{cold_rate}"));
        // Room for the backup copies of all streams.
        let plan = plan.replace("\"kv_capacity_tokens\":100000", "\"kv_capacity_tokens\":1000000");
        fleet.store.put_order("config", &serde_json::from_str(&plan).unwrap());
        let mut unframed = UnframedFleet { fleet, engines, relays, sequence: 0 };
        unframed.heartbeat();
        unframed.fleet.start_gateways().await;
        unframed.heartbeat();
        unframed
    }

    fn heartbeat(&mut self) {
        self.sequence += 1;
        for (number, engine) in self.engines.iter().enumerate() {
            let mut registration = engine.registration(SERVICE, self.sequence);
            if let Some(relay) = self.relays.get(number) {
                registration["address"] = relay.address().to_string().into();
            }
            self.fleet.store.put_server(&format!("i-{number}"), &registration);
        }
    }

    /// Starts a stream. Returns the index of the engine that runs it, and the response.
    pub(crate) async fn start_stream(&mut self) -> (usize, JoinHandle<CallerResponse>) {
        self.start_stream_of(OUTPUT_TOKENS).await
    }

    pub(crate) async fn start_stream_of(
        &mut self,
        tokens: u64,
    ) -> (usize, JoinHandle<CallerResponse>) {
        let response = self.send_stream(tokens, 0);
        self.wait_until(|engines| engines.iter().any(|engine| engine.run_count() > 0)).await;
        tokio::time::sleep(START_TIME).await;
        let source = self.engines.iter().position(|engine| engine.run_count() > 0);
        (source.expect("an engine runs the stream"), response)
    }

    /// Sends a request for a stream to a gateway.
    pub(crate) fn send_stream(
        &mut self,
        tokens: u64,
        gateway: usize,
    ) -> JoinHandle<CallerResponse> {
        let request = self.fleet.stream_request(tokens);
        let address = self.fleet.gateways[gateway].http_address;
        tokio::spawn(async move { send(address, &request).await })
    }

    /// Lets the engines renew their registrations for some time.
    pub(crate) async fn wait(&mut self, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            self.heartbeat();
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Waits for the end of a response while the engines renew their registrations.
    pub(crate) async fn wait_end(
        &mut self,
        response: JoinHandle<CallerResponse>,
    ) -> CallerResponse {
        while !response.is_finished() {
            self.heartbeat();
            tokio::time::sleep(HEARTBEAT).await;
        }
        response.await.unwrap()
    }

    /// Waits for a condition of the engines while they renew their registrations.
    pub(crate) async fn wait_until(&mut self, condition: impl Fn(&[UnframedEngine]) -> bool) {
        let start = tokio::time::Instant::now();
        let mut next_heartbeat = start;
        while !condition(&self.engines) {
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the engines don't get so far in time");
            if tokio::time::Instant::now() >= next_heartbeat {
                self.heartbeat();
                next_heartbeat += HEARTBEAT;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Announces the exit of an engine, and lets it exit when its notice is over.
    pub(crate) async fn drain_until_exit(&mut self, index: usize) {
        self.engines[index].drain(NOTICE);
        self.wait(NOTICE).await;
        self.engines[index].exit();
    }

    /// Waits until no engine works.
    pub(crate) async fn wait_idle(&mut self) {
        self.wait_until(|engines| engines.iter().all(|engine| engine.run_count() == 0)).await;
    }

    /// Closes new connections to an engine, or lets them pass again.
    pub(crate) fn set_reachable(&self, index: usize, is_reachable: bool) {
        let mode = if is_reachable { RelayMode::Pass } else { RelayMode::Cut };
        self.relays[index].apply(RelayCommand { scope: RelayScope::New, mode });
    }

    /// Starts streams until one engine runs two of them. Returns its index and the responses.
    pub(crate) async fn start_streams_until_two_share_an_engine(
        &mut self,
    ) -> (usize, Vec<JoinHandle<CallerResponse>>) {
        let mut responses = Vec::new();
        loop {
            let shared = self.engines.iter().position(|engine| engine.run_count() >= 2);
            if let Some(index) = shared {
                tokio::time::sleep(START_TIME).await;
                return (index, responses);
            }
            responses.push(self.send_stream(OUTPUT_TOKENS, 0));
            let sent = responses.len();
            self.wait_until(|engines| {
                engines.iter().map(UnframedEngine::run_count).sum::<usize>() >= sent
            })
            .await;
        }
    }

    /// Changes what happens to the bytes of new connections to an engine.
    pub(crate) fn set_new_mode(&self, index: usize, mode: RelayMode) {
        self.relays[index].apply(RelayCommand { scope: RelayScope::New, mode });
    }

    /// Changes what happens to the bytes of the oldest connection to an engine.
    pub(crate) fn set_oldest_mode(&self, index: usize, mode: RelayMode) {
        let oldest = self.relays[index].open_connections().into_iter().min();
        let scope = RelayScope::Connection(oldest.expect("a connection is open"));
        self.relays[index].apply(RelayCommand { scope, mode });
    }

    /// Changes what happens to the bytes of all connections to an engine.
    pub(crate) fn set_mode(&self, index: usize, mode: RelayMode) {
        self.relays[index].apply(RelayCommand { scope: RelayScope::All, mode });
    }

    /// Returns the longest time after `since` for which two engines worked on the generation that was
    /// resumed.
    pub(crate) fn overlap_since(&self, since: Instant) -> Duration {
        let resumed = self.engines.iter().find_map(|engine| engine.resumed().first().cloned());
        let attempt = resumed.expect("the generation goes on at another engine");
        let spans: Vec<Vec<WorkSpan>> =
            self.engines.iter().map(|engine| engine.work_spans(&attempt)).collect();
        let mut longest = Duration::ZERO;
        for (index, engine_spans) in spans.iter().enumerate() {
            for other in spans[index + 1..].iter().flatten() {
                for span in engine_spans {
                    longest = longest.max(span.overlap(other, since));
                }
            }
        }
        longest
    }

    /// Returns the runs of the generation that was resumed, in order, each with the index of its
    /// engine.
    pub(crate) fn runs_of_resumed(&self) -> Vec<(usize, EngineRun)> {
        let resumed = self.engines.iter().find_map(|engine| engine.resumed().first().cloned());
        let attempt = resumed.expect("the generation goes on at another engine");
        let engines = self.engines.iter().enumerate();
        let mut runs: Vec<(usize, EngineRun)> = engines
            .flat_map(|(index, engine)| {
                engine.engine_runs(&attempt).into_iter().map(move |run| (index, run))
            })
            .collect();
        runs.sort_by_key(|(_, run)| run.work.start);
        runs
    }

    pub(crate) fn close(self) {
        self.fleet.close();
    }
}

/// Returns the IDs of the events in a response.
pub(crate) fn event_ids(response: &CallerResponse) -> Vec<u64> {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn backup_options(resumption_fault: ResumptionFault) -> UnframedOptions {
    UnframedOptions {
        final_copy: FinalCopy::Copied,
        keeps_backups: true,
        drops_requests: false,
        resumption_fault,
    }
}
