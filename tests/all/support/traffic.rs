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

/// Results of all callers of a load.
#[derive(Debug, Default)]
pub(crate) struct TrafficReport {
    /// Generations that returned the complete and correct text.
    pub(crate) answered: usize,
    /// All other results, each with the time since the start of the load.
    pub(crate) failures: Vec<String>,
}

/// Steady load from many callers, each with one request at a time.
pub(crate) struct Traffic {
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<TrafficReport>>,
}

impl Traffic {
    /// Starts `count` callers that request generations of `tokens` tokens from all VMs in turn.
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
                let mut request_number = number;
                let start = Instant::now();
                while !stopped.load(Ordering::Relaxed) {
                    let address = addresses[request_number % addresses.len()];
                    let route = ROUTES[request_number / addresses.len() % ROUTES.len()];
                    match request_generation(address, route, tokens).await {
                        Ok(()) => report.answered += 1,
                        Err(failure) => {
                            report.failures.push(format!("{:?} {failure}", start.elapsed()));
                        }
                    }
                    request_number += 1;
                    tokio::time::sleep(pause).await;
                }
                report
            }));
        }
        Traffic { stopped, tasks }
    }

    /// Ends the load, waits for the requests in flight and returns the results.
    pub(crate) async fn stop(self) -> TrafficReport {
        self.stopped.store(true, Ordering::Relaxed);
        let mut total = TrafficReport::default();
        for task in self.tasks {
            let report = task.await.unwrap();
            total.answered += report.answered;
            total.failures.extend(report.failures);
        }
        total
    }
}

async fn request_generation(address: SocketAddr, route: &str, tokens: u32) -> Result<(), String> {
    let response = Caller::new("reports").complete_on(address, route, "text", tokens).await?;
    let text = response.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
    if response.status == 200 && text == TokenSource::expected_text(u64::from(tokens)) {
        return Ok(());
    }
    Err(format!("{} {:?}", response.status, response.body))
}
