//! Steady load from many callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dragonflycart_testkit::TokenSource;
use tokio::{task::JoinHandle, time::Instant};

use crate::support::Caller;

/// Routes of the fixture's model.
const ROUTES: [&str; 2] = ["report", "classify"];

/// What the callers of a load saw.
#[derive(Debug, Default)]
pub(crate) struct TrafficReport {
    /// Generations with the whole and correct text.
    pub(crate) answered: usize,
    /// Anything else, with the time since the start of the load.
    pub(crate) failures: Vec<String>,
}

/// Steady load from many callers, each with one request at a time.
pub(crate) struct Traffic {
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<TrafficReport>>,
}

impl Traffic {
    /// Starts `count` callers that ask all VMs in turn for generations of `tokens` tokens.
    pub(crate) fn start(
        addresses: &[SocketAddr],
        count: usize,
        tokens: u32,
        pause: Duration,
    ) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::with_capacity(count);
        for number in 0..count {
            let (stopped, addresses) = (Arc::clone(&stopped), addresses.to_vec());
            tasks.push(tokio::spawn(async move {
                let mut report = TrafficReport::default();
                let mut turn = number;
                let start = Instant::now();
                while !stopped.load(Ordering::Relaxed) {
                    let address = addresses[turn % addresses.len()];
                    let route = ROUTES[turn / addresses.len() % ROUTES.len()];
                    match ask(address, route, tokens).await {
                        Ok(()) => report.answered += 1,
                        Err(failure) => {
                            report.failures.push(format!("{:?} {failure}", start.elapsed()));
                        }
                    }
                    turn += 1;
                    tokio::time::sleep(pause).await;
                }
                report
            }));
        }
        Traffic { stopped, tasks }
    }

    /// Ends the load, waits for the open requests and returns what the callers saw.
    pub(crate) async fn stop(self) -> TrafficReport {
        self.stopped.store(true, Ordering::Relaxed);
        let mut sum = TrafficReport::default();
        for task in self.tasks {
            let report = task.await.unwrap();
            sum.answered += report.answered;
            sum.failures.extend(report.failures);
        }
        sum
    }
}

async fn ask(address: SocketAddr, route: &str, tokens: u32) -> Result<(), String> {
    let answer = Caller::new("reports").complete_on(address, route, "text", tokens).await?;
    let text = answer.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
    if answer.status == 200 && text == TokenSource::expected_text(u64::from(tokens)) {
        return Ok(());
    }
    Err(format!("{} {:?}", answer.status, answer.body))
}
