//! What a VM knows of the speed of a service's servers.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{
    CapacityChange, CapacityCounts, HeaderFault, LoadHeader, OutlookCursor, PauseSample,
    PeerSample, RunningLoad, ServerOutlook,
    sample_ring::SampleRing,
    server_estimate::{LOG_LIMIT, ServerEstimate},
    time_model::TimeModel,
};

/// Unread prompt tokens from which the time to the first event tells how fast a server reads. With
/// less, other delays prevail.
const LEAST_READ_TOKENS: u64 = 500;
/// Pace of a server in a slow phase: work takes 2.5 times as long as usual for some hundred
/// milliseconds.
const SLOW_PHASE_PACE: f64 = 2.5;
/// Minimum number of servers with recent samples for a median other than 1.0.
const LEAST_MEASURED: usize = 3;
/// Minimum time between computations of the median. A fleet of 600 servers gets thousands of samples
/// per second.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(200);
/// Difference of a pace figure from the service's usual one from which it counts as a sample of the
/// speed, as a logarithm: 5%. A header that always says the same tells nothing.
const FIGURE_DIFFERENCE: f64 = 0.05;
/// Change of the learned speed that is reported, as a logarithm: a factor of 1.35.
const TOLD_DIFFERENCE: f64 = 0.3;
/// Minimum time between two reports of the speed of one server.
const TOLD_SPACING: Duration = Duration::from_secs(30);
/// Minimum time between two reports of speeds of any servers of the service.
const ANY_TOLD_SPACING: Duration = Duration::from_millis(500);
/// Minimum number of samples for a report.
const TOLD_SAMPLES: u32 = 8;
/// Maximum number of changes that wait to be logged.
const CHANGES_KEPT: usize = 64;

/// What a VM knows of the speed of the servers of one service.
#[derive(Debug, Clone)]
pub struct CapacityTable<K> {
    servers: BTreeMap<K, ServerEstimate>,
    /// Time to read a prompt token, by the number of requests.
    reading: TimeModel<K>,
    /// Median pause between events.
    pauses: TimeModel<K>,
    /// Quotient of a heavy and a median pause.
    heaviness: SampleRing<K>,
    /// Pace figures of load headers.
    figures: SampleRing<K>,
    /// Latency of plain calls.
    calls: TimeModel<K>,
    /// Logarithm of the median speed of the servers, and the time at which it was computed.
    median_log: f64,
    median_at: Option<MonoTime>,
    /// Whether the median covers enough servers.
    has_median: bool,
    is_in_effect: bool,
    told_at: Option<MonoTime>,
    changes: Vec<(K, CapacityChange)>,
    counts: CapacityCounts,
}

impl<K: Copy + Ord> Default for CapacityTable<K> {
    fn default() -> CapacityTable<K> {
        CapacityTable {
            servers: BTreeMap::new(),
            reading: TimeModel::default(),
            pauses: TimeModel::default(),
            heaviness: SampleRing::default(),
            figures: SampleRing::default(),
            calls: TimeModel::default(),
            median_log: 0.0,
            median_at: None,
            has_median: false,
            is_in_effect: false,
            told_at: None,
            changes: Vec::new(),
            counts: CapacityCounts::default(),
        }
    }
}

impl<K: Copy + Ord> CapacityTable<K> {
    /// Returns whether a server of the service sent its pace, so that placement uses the table.
    pub fn is_in_effect(&self) -> bool {
        self.is_in_effect
    }

    /// Records the load header of a response.
    pub fn note_header(
        &mut self,
        server: K,
        header: Result<LoadHeader, HeaderFault>,
        now: MonoTime,
    ) {
        let estimate = self.servers.entry(server).or_default();
        match header {
            Ok(header) => {
                if let Some(pace) = header.pace {
                    self.figures.push(server, pace, now);
                    self.is_in_effect = true;
                }
                // A server that is alone would be compared with itself.
                let has_others = self.figures.server_count() >= LEAST_MEASURED;
                let usual = self.figures.median().filter(|_| has_others).unwrap_or(1.0);
                estimate.note_pace(header.pace, usual, now);
                // The figures also tell lasting differences, long before there are enough results.
                let log = estimate.usual_figure().map_or(0.0, |figure| (usual / figure).ln());
                if header.pace.is_some() && log.abs() >= FIGURE_DIFFERENCE {
                    estimate.note_own(log.clamp(-LOG_LIMIT, LOG_LIMIT), now);
                }
            }
            Err(HeaderFault::Absent) => {}
            Err(_) => self.counts.unusable_headers += 1,
        }
        let change = match estimate.header.note(header.err(), now) {
            Some(Some(fault)) => CapacityChange::HeaderUnusable { fault },
            Some(None) => CapacityChange::HeaderUsable,
            None => return,
        };
        if self.changes.len() < CHANGES_KEPT {
            self.changes.push((server, change));
        }
    }

    /// Records the time to the first event of a stream, from the moment at which it was sent to the
    /// server, where `load` includes the stream itself.
    pub fn note_first_event(
        &mut self,
        server: K,
        load: RunningLoad,
        time: Duration,
        now: MonoTime,
    ) {
        if load.unread_tokens < LEAST_READ_TOKENS {
            return;
        }
        let token_s = self.paced_s(server, time, now) / load.unread_tokens as f64;
        let unbiased_s = token_s * self.speed(server, now);
        self.reading.push(server, load.requests, unbiased_s, now);
        let is_compared = self.is_compared(self.reading.covers_several(load.requests), now);
        let usual_s = self
            .reading
            .usual(load.requests)
            .map(|usual_s| if is_compared { usual_s } else { token_s });
        self.note_ratio(server, usual_s, token_s, now);
    }

    /// Records pauses between events of a stream, while `requests` ran at the server.
    pub fn note_pause(&mut self, server: K, pause: PauseSample, requests: u32, now: MonoTime) {
        let pause_s = self.paced_s(server, pause.usual, now);
        if pause.usual.is_zero() {
            return;
        }
        self.heaviness.push(server, pause.heavy.as_secs_f64() / pause.usual.as_secs_f64(), now);
        let unbiased_s = pause_s * self.speed(server, now);
        self.pauses.push(server, requests, unbiased_s, now);
        let is_compared = self.is_compared(self.pauses.covers_several(requests), now);
        let usual_s =
            self.pauses.usual(requests).map(|usual_s| if is_compared { usual_s } else { pause_s });
        self.note_ratio(server, usual_s, pause_s, now);
    }

    /// Records the latency of a plain call, while `requests` were at the server.
    pub fn note_call(&mut self, server: K, latency: Duration, requests: u32, now: MonoTime) {
        let call_s = self.paced_s(server, latency, now);
        let unbiased_s = call_s * self.speed(server, now);
        self.calls.push(server, requests, unbiased_s, now);
        let is_compared = self.is_compared(self.calls.covers_several(requests), now);
        let usual_s =
            self.calls.usual(requests).map(|usual_s| if is_compared { usual_s } else { call_s });
        self.note_ratio(server, usual_s, call_s, now);
    }

    /// Records that a server refused a request while it had `requests`.
    pub fn note_refusal(&mut self, server: K, requests: u32, now: MonoTime) {
        self.servers.entry(server).or_default().note_refusal(requests, now);
    }

    /// Records a peer's results at a server. Returns false if they are not used.
    pub fn note_peer_sample(
        &mut self,
        server: K,
        peer: u64,
        sample: PeerSample,
        now: MonoTime,
    ) -> bool {
        let is_used = self.servers.entry(server).or_default().note_peer(peer, sample, now);
        if is_used {
            // Peers send samples only of services for which the table is in effect.
            self.is_in_effect = true;
            self.update_median(now);
            self.tell_speed(server, now);
            self.counts.peer_samples += 1;
        } else {
            self.counts.unused_peer_samples += 1;
        }
        is_used
    }

    /// Forgets a server.
    pub fn forget(&mut self, server: K) {
        self.servers.remove(&server);
    }

    /// Returns the time as it would be at the usual pace.
    fn paced_s(&self, server: K, time: Duration, now: MonoTime) -> f64 {
        time.as_secs_f64() / self.pace(server, now)
    }

    /// Returns whether a result is compared with the usual time. If that time covers only the
    /// server itself, the result says nothing of its relative speed unless there is a median over
    /// several servers. A result that is not compared counts as the usual time.
    fn is_compared(&mut self, covers_several: bool, now: MonoTime) -> bool {
        self.update_median(now);
        covers_several || self.has_median
    }

    fn note_ratio(&mut self, server: K, usual_s: Option<f64>, time_s: f64, now: MonoTime) {
        let Some(usual_s) = usual_s.filter(|usual_s| *usual_s > 0.0 && time_s > 0.0) else {
            return;
        };
        self.counts.own_samples += 1;
        let log = (usual_s / time_s).ln().clamp(-LOG_LIMIT, LOG_LIMIT);
        self.servers.entry(server).or_default().note_own(log, now);
        self.update_median(now);
        self.tell_speed(server, now);
    }

    fn update_median(&mut self, now: MonoTime) {
        if self.median_at.is_some_and(|at| now.since(at) < MEDIAN_INTERVAL) {
            return;
        }
        self.median_at = Some(now);
        let recent = self.servers.values().filter_map(|estimate| estimate.recent_log(now));
        let mut logs: Vec<f64> = recent.collect();
        if logs.len() < LEAST_MEASURED {
            // Results are compared with times that are corrected by the learned speed. An outdated
            // median would be added again with each result, and the speed would grow without end.
            self.median_log = 0.0;
            self.has_median = false;
            return;
        }
        self.has_median = true;
        let middle = logs.len() / 2;
        let (_, median, _) = logs.select_nth_unstable_by(middle, f64::total_cmp);
        self.median_log = *median;
    }

    fn tell_speed(&mut self, server: K, now: MonoTime) {
        let new = self.speed(server, now);
        let Some(estimate) = self.servers.get_mut(&server) else { return };
        let (old, told_at) = estimate.told.map_or((1.0, None), |(old, at)| (old, Some(at)));
        let is_due = told_at.is_none_or(|at| now.since(at) >= TOLD_SPACING)
            && self.told_at.is_none_or(|at| now.since(at) >= ANY_TOLD_SPACING);
        let is_notable = (new / old).ln().abs() >= TOLD_DIFFERENCE;
        if !is_due || !is_notable || estimate.sample_count() < TOLD_SAMPLES {
            return;
        }
        if self.changes.len() < CHANGES_KEPT {
            estimate.told = Some((new, now));
            self.told_at = Some(now);
            self.changes.push((server, CapacityChange::SpeedChanged { old, new }));
        }
    }

    /// Returns the changes that were not logged yet.
    pub fn take_changes(&mut self) -> Vec<(K, CapacityChange)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the learned speed of a server relative to the median of the service.
    pub fn speed(&self, server: K, now: MonoTime) -> f64 {
        let Some(estimate) = self.servers.get(&server) else { return 1.0 };
        estimate.speed(self.median_log, now)
    }

    /// Returns the time since the last sample of a server's speed by any VM.
    pub fn sample_age(&self, server: K, now: MonoTime) -> Option<Duration> {
        let sampled_at = self.servers.get(&server)?.sampled_at()?;
        Some(now.since(sampled_at))
    }

    /// Returns how long work takes at a server at this moment, as a multiple of its usual time, by
    /// its last load header; 1.0 if that is too old.
    pub fn pace(&self, server: K, now: MonoTime) -> f64 {
        self.servers.get(&server).map_or(1.0, |estimate| estimate.pace(now))
    }

    /// Returns what is expected of a server now.
    pub fn outlook(&self, server: K, now: MonoTime) -> ServerOutlook {
        let estimate = self.servers.get(&server);
        estimate.map_or_else(ServerOutlook::default, |known| known.outlook(self.median_log, now))
    }

    /// Returns a cursor that reads what is expected of many servers now.
    pub fn outlooks(&self, now: MonoTime) -> OutlookCursor<'_, K> {
        OutlookCursor::new(&self.servers, self.median_log, now)
    }

    /// Returns the expected time to the first event of a stream with `prompt_tokens` that is sent to
    /// a server with this load, or `None` if too little is known of the service.
    pub fn expected_first_event(
        &self,
        server: K,
        load: RunningLoad,
        prompt_tokens: u64,
        now: MonoTime,
    ) -> Option<Duration> {
        self.first_event_by(&self.outlook(server, now), load, prompt_tokens)
    }

    /// Returns the same for a server of which `outlook` is expected.
    pub fn first_event_by(
        &self,
        outlook: &ServerOutlook,
        load: RunningLoad,
        prompt_tokens: u64,
    ) -> Option<Duration> {
        let token_s = self.reading.usual(load.requests)?;
        let tokens = (load.unread_tokens + prompt_tokens) as f64;
        Some(Duration::from_secs_f64(token_s * tokens * outlook.slowness()))
    }

    /// Returns the expected pause between events at a server with this load, or `None` if too
    /// little is known of the service. Pauses are longer while a prompt is read.
    pub fn expected_pause(&self, server: K, load: RunningLoad, now: MonoTime) -> Option<Duration> {
        let heaviness = if load.unread_tokens > 0 { self.heaviness() } else { 1.0 };
        let pause_s = self.pauses.usual(load.requests)?;
        let slowness = self.outlook(server, now).slowness();
        Some(Duration::from_secs_f64(pause_s * heaviness * slowness))
    }

    /// Returns the expected pause between events at a server with this load, of which `outlook` is
    /// expected, while it is in a slow phase and reads prompts.
    pub fn slow_phase_pause(&self, outlook: &ServerOutlook, load: RunningLoad) -> Option<Duration> {
        let pause_s = self.pauses.usual(load.requests)? * self.heaviness();
        let pace = outlook.pace.max(SLOW_PHASE_PACE);
        Some(Duration::from_secs_f64(pause_s * pace / outlook.speed))
    }

    fn heaviness(&self) -> f64 {
        self.heaviness.median().map_or(1.0, |quotient| quotient.max(1.0))
    }

    /// Returns the number of requests that a server takes well, or `None` if it lately refused none.
    pub fn takes_well(&self, server: K, now: MonoTime) -> Option<u32> {
        self.servers.get(&server)?.refused_at(now)
    }

    /// Returns whether a server is so slow that it is avoided.
    pub fn is_avoided(&self, server: K, now: MonoTime) -> bool {
        self.outlook(server, now).is_avoided()
    }

    /// Returns whether an avoided server had no sample for `wait` and this VM is to send it a request,
    /// so that it is measured again. A wait that differs between VMs lets them take turns.
    pub fn is_retest_due(&self, server: K, wait: Duration, now: MonoTime) -> bool {
        let Some(estimate) = self.servers.get(&server) else { return false };
        let Some(sampled_at) = estimate.sampled_at() else { return false };
        self.is_avoided(server, now) && now.since(sampled_at) >= wait && now >= estimate.next_retest
    }

    /// Records that this VM sends a request to a server so that it is measured again.
    pub fn note_retest(&mut self, server: K, interval: Duration, now: MonoTime) {
        if let Some(estimate) = self.servers.get_mut(&server) {
            estimate.next_retest = now + interval;
            self.counts.retests += 1;
        }
    }

    /// Returns this VM's results at the servers that it used within the last `time`, for its peers.
    pub fn own_samples(&self, time: Duration, now: MonoTime) -> Vec<(K, PeerSample)> {
        let mut samples = Vec::new();
        for (server, estimate) in &self.servers {
            let own = estimate.own;
            let Some(at) = own.at.filter(|at| now.since(*at) <= time) else { continue };
            let age = now.since(at);
            let sample = PeerSample { samples: own.samples, speed: own.log.exp(), age };
            samples.push((*server, sample));
        }
        samples
    }

    /// Returns the counts since the last call.
    pub fn take_counts(&mut self) -> CapacityCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the learned speeds of all servers with recent samples.
    pub fn speeds(&self, now: MonoTime) -> Vec<(K, f64)> {
        let measured = self.servers.iter().filter(|(_, state)| state.recent_log(now).is_some());
        measured.map(|(server, _)| (*server, self.speed(*server, now))).collect()
    }
}
