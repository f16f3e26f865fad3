//! Reads a table of the store, first whole and then as it grows.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::{info, warn};

use crate::{FleetTable, GatewayContext, StoreError, TableBatch};

/// Shortest pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Longest pause after a failed read.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Reader of one table.
pub struct StoreReader {
    context: Arc<GatewayContext>,
    table: FleetTable,
    wait: Duration,
    spacing: Duration,
    next: Option<u64>,
    failures: u32,
    last_read: Option<Instant>,
}

impl StoreReader {
    /// Builds a reader that waits up to `wait` for records and reads at most once per `spacing`.
    pub fn new(
        context: &Arc<GatewayContext>,
        table: FleetTable,
        wait: Duration,
        spacing: Duration,
    ) -> StoreReader {
        StoreReader {
            context: Arc::clone(context),
            table,
            wait,
            spacing,
            next: None,
            failures: 0,
            last_read: None,
        }
    }

    /// Returns the next records, and whether they are the whole table.
    pub async fn next(&mut self) -> (TableBatch, bool) {
        loop {
            if let Some(last_read) = self.last_read {
                tokio::time::sleep_until(last_read + self.spacing).await;
            }
            self.last_read = Some(Instant::now());
            let is_whole = self.next.is_none();
            let result = match self.next {
                None => self.context.store.read_newest(self.table).await,
                Some(from) => self.context.store.read_from(self.table, from, self.wait).await,
            };
            match result {
                Ok(batch) => {
                    self.note_success();
                    self.next = Some(batch.next);
                    if is_whole || !batch.records.is_empty() {
                        return (batch, is_whole);
                    }
                }
                Err(StoreError::Expired) => {
                    self.context.metrics.count_store_call("expired");
                    info!(table = %self.table, from = self.next, "store: records expired");
                    self.next = None;
                }
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    fn note_success(&mut self) {
        self.context.metrics.count_store_call("ok");
        if self.failures > 0 {
            info!(table = %self.table, failures = self.failures, "store: reachable again");
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, error: &StoreError) {
        self.context.metrics.count_store_call("failed");
        self.context.view().note_store_failure(self.context.clock.now());
        if self.failures == 0 {
            warn!(table = %self.table, %error, "store: lost");
        }
        let pause = RETRY_MIN * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        tokio::time::sleep(pause.min(RETRY_MAX)).await;
    }
}
