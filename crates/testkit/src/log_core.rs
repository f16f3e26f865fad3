//! State of the fake log service.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::{LogCommand, LogConfig, LogStats, OutageKind, rate_limiter::RateLimiter};

/// Result of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendResult {
    Written {
        offset: u64,
    },
    Refused,
    RateLimited,
    TooLarge {
        limit: usize,
    },
    /// The connection is reset and the record is written after the delay.
    Late {
        delay_ms: u64,
    },
    Hang,
}

/// Result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReadResult {
    Batch { first: u64, end: u64, records: Vec<(u64, Bytes)> },
    Expired { first: u64 },
    Refused,
    Hang,
}

/// Records of one topic: the time of writing and the body. `first` is the offset of the oldest.
#[derive(Default)]
struct TopicRecords {
    first: u64,
    records: VecDeque<(u64, Bytes)>,
}

impl TopicRecords {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}

/// State of the fake log service. Time is a parameter, in milliseconds since its start.
pub(crate) struct LogCore {
    config: LogConfig,
    topics: BTreeMap<String, TopicRecords>,
    rate_limiter: RateLimiter,
    outage: OutageKind,
    slow_ms: u64,
    /// Number of further appends whose record is written late, and the delay in milliseconds.
    late_appends: (u32, u64),
    stats: LogStats,
}

impl LogCore {
    pub(crate) fn new(config: LogConfig) -> LogCore {
        LogCore {
            topics: BTreeMap::new(),
            rate_limiter: RateLimiter::new(config.appends_per_second),
            outage: OutageKind::None,
            slow_ms: 0,
            late_appends: (0, 0),
            stats: LogStats::default(),
            config,
        }
    }

    pub(crate) fn stats(&self) -> LogStats {
        self.stats.clone()
    }

    /// Returns the delay in milliseconds before an operation is executed.
    pub(crate) fn slow_ms(&self) -> u64 {
        self.slow_ms
    }

    pub(crate) fn apply(&mut self, command: LogCommand) {
        match command {
            LogCommand::Outage { kind } => self.outage = kind,
            LogCommand::Slow { ms } => self.slow_ms = ms,
            LogCommand::ApplyLate { count, ms } => self.late_appends = (count, ms),
            LogCommand::Expire { first } => {
                for topic in self.topics.values_mut() {
                    while topic.first < first && !topic.records.is_empty() {
                        topic.drop_oldest();
                    }
                }
            }
            LogCommand::Rate { appends_per_second } => {
                self.rate_limiter.set_rate(appends_per_second);
            }
        }
    }

    pub(crate) fn append(&mut self, topic: &str, body: Bytes, now_ms: u64) -> AppendResult {
        match self.outage {
            OutageKind::None => {}
            OutageKind::Refuse | OutageKind::RefuseAppends => {
                self.stats.refused += 1;
                return AppendResult::Refused;
            }
            OutageKind::Hang => return AppendResult::Hang,
        }
        if body.len() > self.config.record_limit_bytes {
            self.stats.too_large += 1;
            return AppendResult::TooLarge { limit: self.config.record_limit_bytes };
        }
        if self.rate_limiter.try_acquire(now_ms).is_err() {
            self.stats.rate_limited += 1;
            return AppendResult::RateLimited;
        }
        if let Some(left) = self.late_appends.0.checked_sub(1) {
            self.late_appends.0 = left;
            return AppendResult::Late { delay_ms: self.late_appends.1 };
        }
        AppendResult::Written { offset: self.write(topic, body, now_ms) }
    }

    /// Writes a record after its append got [`AppendResult::Late`].
    pub(crate) fn write_late(&mut self, topic: &str, body: Bytes, now_ms: u64) {
        self.stats.written_late += 1;
        self.write(topic, body, now_ms);
    }

    fn write(&mut self, topic: &str, body: Bytes, now_ms: u64) -> u64 {
        self.stats.written += 1;
        self.stats.written_bytes += body.len() as u64;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        topic.records.push_back((now_ms, body));
        offset
    }

    pub(crate) fn read(&mut self, topic: &str, from: u64, now_ms: u64) -> ReadResult {
        match self.outage {
            OutageKind::None | OutageKind::RefuseAppends => {}
            OutageKind::Refuse => return ReadResult::Refused,
            OutageKind::Hang => return ReadResult::Hang,
        }
        self.stats.reads += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        while topic.records.len() > self.config.retention_records
            || topic
                .records
                .front()
                .is_some_and(|(written_ms, _)| written_ms + self.config.retention_ms <= now_ms)
        {
            topic.drop_oldest();
        }
        if from < topic.first {
            return ReadResult::Expired { first: topic.first };
        }
        let mut records = Vec::new();
        let mut batch_bytes = 0;
        for (index, (_, body)) in topic.records.iter().enumerate() {
            let offset = topic.first + index as u64;
            if offset < from {
                continue;
            }
            batch_bytes += body.len();
            if !records.is_empty() && batch_bytes > self.config.batch_limit_bytes {
                break;
            }
            records.push((offset, body.clone()));
        }
        ReadResult::Batch { first: topic.first, end: topic.end(), records }
    }
}
