//! Load figures that a server sends in its responses.

use crate::HeaderFault;

/// Maximum plausible number of requests or slots.
const REQUESTS_LIMIT: i64 = 100_000;
/// Value of the pace figure if work takes as long as usual.
const USUAL_PACE: f64 = 100.0;
/// Maximum plausible pace, as a multiple of the usual one.
const PACE_LIMIT: f64 = 100.0;

/// Load figures of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadHeader {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// How long work takes at this moment, as a multiple of the usual time, if the server says so.
    pub pace: Option<f64>,
}

impl LoadHeader {
    /// Reads the figures by their position. Figures after the fourth are ignored.
    ///
    /// # Errors
    ///
    /// Returns why the header is not usable. A header with one bad figure is not used at all.
    pub fn parse(text: &str) -> Result<LoadHeader, HeaderFault> {
        let mut parts = text.split(',').map(str::trim);
        let running = parse_count(parts.next(), 0)?;
        let waiting = parse_count(parts.next(), 0)?;
        let slots = parse_count(parts.next(), 1)?;
        let pace = parts.next().map(parse_pace).transpose()?;
        Ok(LoadHeader { running, waiting, slots, pace })
    }

    /// Returns the number of requests at the server.
    pub fn requests(&self) -> u32 {
        self.running + self.waiting
    }
}

fn parse_count(part: Option<&str>, least: i64) -> Result<u32, HeaderFault> {
    let text = part.filter(|text| !text.is_empty()).ok_or(HeaderFault::MissingFigure)?;
    let count: i64 = text.parse().map_err(|_| HeaderFault::NotANumber)?;
    if !(least..=REQUESTS_LIMIT).contains(&count) {
        return Err(HeaderFault::Implausible);
    }
    u32::try_from(count).map_err(|_| HeaderFault::Implausible)
}

fn parse_pace(text: &str) -> Result<f64, HeaderFault> {
    if text.is_empty() {
        return Err(HeaderFault::MissingFigure);
    }
    let figure: f64 = text.parse().map_err(|_| HeaderFault::NotANumber)?;
    let pace = figure / USUAL_PACE;
    // The comparison is also false for a figure such as `NaN`.
    if pace > 0.0 && pace <= PACE_LIMIT { Ok(pace) } else { Err(HeaderFault::Implausible) }
}
