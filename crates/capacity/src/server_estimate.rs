//! What a VM knows of the speed of one server.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::MonoTime;

use crate::{
    PeerSample, ServerOutlook,
    header_watch::HeaderWatch,
    speed_estimate::{SAMPLES_COUNTED, SpeedEstimate, kept_share},
};

/// Time for which the pace in a load header holds. It changes many times per second.
const PACE_AGE: Duration = Duration::from_millis(300);
/// Number of own pace figures of which the median is a server's usual one.
const FIGURES_KEPT: usize = 7;
/// Weight of the service's usual figure in that median. A first figure says what the pace is now, not
/// what is usual.
const SERVICE_FIGURES: usize = 2;
/// Least pace that counts. A false figure must not draw all requests to a server.
const LEAST_PACE: f64 = 0.5;
/// Bound of the learned speed, as a logarithm: a factor of 10.
pub(crate) const LOG_LIMIT: f64 = 2.3;
/// Bounds of the speed that a peer may report.
const PEER_SPEEDS: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// Maximum age of a peer's samples.
const PEER_AGE: Duration = Duration::from_secs(10);
/// Time for which a refusal counts.
const REFUSAL_AGE: Duration = Duration::from_secs(2);

/// What a VM knows of the speed of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerEstimate {
    pub(crate) header: HeaderWatch,
    /// Pace in the last usable header that has one.
    pace: Option<(f64, MonoTime)>,
    /// Latest pace figures. Figures of servers of different speed differ also while nothing slows
    /// them.
    figures: VecDeque<f64>,
    /// Median of these and of the service's usual figure.
    usual_figure: Option<f64>,
    /// Number of requests at which the server refused one.
    refusal: Option<(u32, MonoTime)>,
    /// Results of this VM.
    pub(crate) own: SpeedEstimate,
    /// Results of the other VMs. Each report replaces the previous one of its VM.
    peers: BTreeMap<u64, SpeedEstimate>,
    /// Results of all VMs, as of the last sample.
    merged: SpeedEstimate,
    /// Speed that was last reported, and when.
    pub(crate) told: Option<(f64, MonoTime)>,
    /// Time before which this VM does not measure the server again for the sake of the measurement.
    pub(crate) next_retest: MonoTime,
}

impl ServerEstimate {
    /// Records the pace figure of a load header, of which `service_figure` is usual for the service.
    pub(crate) fn note_pace(&mut self, pace: Option<f64>, service_figure: f64, now: MonoTime) {
        self.pace = pace.map(|pace| (pace, now));
        let Some(pace) = pace else { return };
        self.figures.push_back(pace);
        if self.figures.len() > FIGURES_KEPT {
            self.figures.pop_front();
        }
        let mut figures: Vec<f64> = self.figures.iter().copied().collect();
        figures.resize(figures.len() + SERVICE_FIGURES, service_figure);
        let middle = figures.len() / 2;
        let (_, median, _) = figures.select_nth_unstable_by(middle, f64::total_cmp);
        self.usual_figure = Some(*median);
    }

    /// Returns the usual pace figure of the server.
    pub(crate) fn usual_figure(&self) -> Option<f64> {
        self.usual_figure
    }

    /// Returns how long work takes now as a multiple of the usual time, 1.0 if it is not known.
    pub(crate) fn pace(&self, now: MonoTime) -> f64 {
        let current = self.pace.filter(|(_, at)| now.since(*at) <= PACE_AGE);
        current.map_or(1.0, |(pace, _)| (pace / self.usual_figure.unwrap_or(1.0)).max(LEAST_PACE))
    }

    pub(crate) fn note_own(&mut self, log: f64, now: MonoTime) {
        self.own.note(log, now);
        self.merge(now);
    }

    /// Records a peer's results. Returns false if they are implausible, too old or not newer than
    /// those known.
    pub(crate) fn note_peer(&mut self, peer: u64, sample: PeerSample, now: MonoTime) -> bool {
        let at = now - sample.age;
        let is_plausible = PEER_SPEEDS.contains(&sample.speed) && sample.samples > 0;
        if !is_plausible || sample.age > PEER_AGE {
            return false;
        }
        if self.peers.get(&peer).is_some_and(|known| known.at >= Some(at)) {
            return false;
        }
        let log = sample.speed.ln();
        // More samples have no more weight, and unlimited counts could overflow when they are
        // added.
        let samples = sample.samples.min(SAMPLES_COUNTED);
        self.peers.insert(peer, SpeedEstimate { log, samples, at: Some(at) });
        self.merge(now);
        true
    }

    fn merge(&mut self, now: MonoTime) {
        self.peers.retain(|_, estimate| !estimate.is_outdated(now));
        let (mut sum, mut weights, mut samples, mut latest) = (0.0, 0.0, 0, None);
        for estimate in self.peers.values().chain([&self.own]) {
            let weight = estimate.weight(now);
            sum += weight * estimate.log;
            weights += weight;
            samples += estimate.samples;
            latest = latest.max(estimate.at);
        }
        if weights > 0.0 {
            self.merged = SpeedEstimate { log: sum / weights, samples, at: latest };
        }
    }

    /// Returns the logarithm of the speed relative to what is usual, or `None` if there are no
    /// recent samples.
    pub(crate) fn recent_log(&self, now: MonoTime) -> Option<f64> {
        (!self.merged.is_outdated(now)).then_some(self.merged.log)
    }

    /// Returns the logarithm of the speed relative to the median `median_log`.
    pub(crate) fn relative_log(&self, median_log: f64, now: MonoTime) -> f64 {
        let Some(at) = self.merged.at else { return 0.0 };
        (self.merged.log - median_log) * kept_share(now.since(at))
    }

    /// Returns the speed relative to the median of the service, of which the logarithm is
    /// `median_log`.
    pub(crate) fn speed(&self, median_log: f64, now: MonoTime) -> f64 {
        self.relative_log(median_log, now).clamp(-LOG_LIMIT, LOG_LIMIT).exp()
    }

    /// Returns what is expected of the server now.
    pub(crate) fn outlook(&self, median_log: f64, now: MonoTime) -> ServerOutlook {
        ServerOutlook {
            speed: self.speed(median_log, now),
            pace: self.pace(now),
            takes_well: self.refused_at(now),
        }
    }

    /// Returns the time of the last sample of any VM.
    pub(crate) fn sampled_at(&self) -> Option<MonoTime> {
        self.merged.at
    }

    /// Returns the number of samples of all VMs.
    pub(crate) fn sample_count(&self) -> u32 {
        self.merged.samples
    }

    pub(crate) fn note_refusal(&mut self, requests: u32, now: MonoTime) {
        let least = self.refused_at(now).map_or(requests, |known| known.min(requests));
        self.refusal = Some((least.max(1), now));
    }

    /// Returns the number of requests at which the server lately refused one.
    pub(crate) fn refused_at(&self, now: MonoTime) -> Option<u32> {
        let recent = self.refusal.filter(|(_, at)| now.since(*at) <= REFUSAL_AGE);
        recent.map(|(requests, _)| requests)
    }
}
