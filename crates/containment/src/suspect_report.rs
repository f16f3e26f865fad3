//! Message in which a VM tells its peers which parts of prompts may crash engines.

use std::time::Duration;

use dragonflycart_core::PromptPart;
use prost::Message;

use crate::{EngineRun, SuspectRecord};

/// Crash that counts against a part.
#[derive(Clone, PartialEq, Message)]
pub struct CrashEntry {
    /// Number of the [`EngineRun`].
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Milliseconds since the crash.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// What the sender knows about a part.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// Identity of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Position in the prompts.
    #[prost(uint32, tag = "2")]
    pub depth: u32,
    /// Crashes that count against it.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<CrashEntry>,
    /// Milliseconds since it was last seen to be sound.
    #[prost(uint64, optional, tag = "4")]
    pub sound_age_ms: Option<u64>,
    /// Milliseconds since a request with it was last refused.
    #[prost(uint64, optional, tag = "5")]
    pub refused_age_ms: Option<u64>,
    /// Milliseconds since it is contained.
    #[prost(uint64, optional, tag = "6")]
    pub contained_age_ms: Option<u64>,
}

/// Parts that may crash engines. Receivers merge reports, so they may be lost, repeated or late.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectReport {
    /// Random ID of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub boot: u64,
    /// Parts, those with the strongest evidence first.
    #[prost(message, repeated, tag = "2")]
    pub suspects: Vec<SuspectEntry>,
}

impl SuspectEntry {
    /// Builds the entry of a record.
    fn new(record: &SuspectRecord) -> SuspectEntry {
        let millis = |age: Duration| age.as_millis() as u64;
        let entry = |(engine, age): &(EngineRun, Duration)| CrashEntry {
            engine: engine.number(),
            age_ms: millis(*age),
        };
        SuspectEntry {
            part: record.part.id(),
            depth: record.depth,
            crashes: record.crashes.iter().map(entry).collect(),
            sound_age_ms: record.sound_age.map(millis),
            refused_age_ms: record.refused_age.map(millis),
            contained_age_ms: record.contained_age.map(millis),
        }
    }

    /// Returns the record.
    fn record(&self) -> SuspectRecord {
        let crash = |entry: &CrashEntry| {
            (EngineRun::from_number(entry.engine), Duration::from_millis(entry.age_ms))
        };
        SuspectRecord {
            part: PromptPart::new(self.part),
            depth: self.depth,
            crashes: self.crashes.iter().map(crash).collect(),
            sound_age: self.sound_age_ms.map(Duration::from_millis),
            refused_age: self.refused_age_ms.map(Duration::from_millis),
            contained_age: self.contained_age_ms.map(Duration::from_millis),
        }
    }
}

impl SuspectReport {
    /// Builds the report of a process from its records.
    pub fn new(boot: u64, records: &[SuspectRecord]) -> SuspectReport {
        SuspectReport { boot, suspects: records.iter().map(SuspectEntry::new).collect() }
    }

    /// Returns the records.
    pub fn records(&self) -> Vec<SuspectRecord> {
        self.suspects.iter().map(SuspectEntry::record).collect()
    }
}
