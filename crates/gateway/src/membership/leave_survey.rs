//! Asks engines whether they are leaving while their registrations can't be read.
//!
//! An engine announces its shutdown in the store about two seconds ahead. If neither the store nor
//! a peer that reads it can be reached, the engine's own report is the only notice.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::StatusCode;
use tracing::info;

use crate::{FleetTable, GatewayContext, ServerKey};

/// Interval between two surveys.
const SURVEY_INTERVAL: Duration = Duration::from_millis(400);
/// Age of the table of servers from which engines are asked.
const OUTDATED_AGE: Duration = Duration::from_millis(2_000);
/// Mean number of VMs that ask an engine in one survey.
const ASKING_VMS: f64 = 2.0;
/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Engine to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SurveyedEngine {
    /// Key of the engine.
    pub key: ServerKey,
    /// ID.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// Start time of the registered process, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
    /// Number of VMs that have generations on it.
    pub user_count: usize,
}

impl SurveyedEngine {
    /// Returns whether this VM asks the engine in the current survey. The VMs that use an engine
    /// tell each other that it is leaving, so a few of them are enough; `random`, from 0 to 1,
    /// selects them.
    pub fn is_asked(&self, random: f64) -> bool {
        random * self.user_count as f64 <= ASKING_VMS
    }
}

/// Surveys engines for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(SURVEY_INTERVAL).await;
        let age = context.tables.age(FleetTable::Servers);
        if age.is_none_or(|age| age < OUTDATED_AGE) {
            continue;
        }
        let engines = context.view().engines_in_use(context.clock.now());
        for engine in engines {
            if !engine.is_asked(rand::random()) {
                continue;
            }
            tokio::spawn(ask(Arc::clone(&context), engine));
        }
    }
}

async fn ask(context: Arc<GatewayContext>, engine: SurveyedEngine) {
    let call = context.engine_protocol.report_call();
    let response = context.pool.call(&call, engine.address, REPORT_TIMEOUT).await;
    let Some((_, body)) = response.ok().filter(|(head, _)| head.status == StatusCode::OK) else {
        // An engine that can't be reached is noticed by its connections.
        tracing::debug!(server = engine.id, "servers: report not received");
        return;
    };
    let Some(report) = context.engine_protocol.decode_report(&body) else {
        info!(server = engine.id, "servers: report not understood");
        return;
    };
    // Another process may have got the address.
    if !report.is_leaving || report.started_at_ms != engine.started_at_ms {
        return;
    }
    let now = context.clock.now();
    if !context.view().note_leaving(&engine.id, engine.started_at_ms, true, now) {
        return;
    }
    info!(
        server = engine.id,
        leaves_ms = report.leaves_in.map(|time| time.as_millis() as u64),
        "servers: leaving, says itself"
    );
    context.announce_change();
    context.load_changes.notify_one();
}
