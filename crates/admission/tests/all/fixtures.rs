//! Fixtures shared by the tests.

use std::time::Duration;

use dragonflycart_admission::{AdmissionClass, EstimateInputs, Waiter};
use dragonflycart_core::MonoTime;

/// Service of engines.
pub(crate) const ENGINES: &str = "assistant";
/// Tokens of a long stream.
pub(crate) const LONG_TOKENS: u64 = 3_500;
/// Tokens of a short stream.
pub(crate) const SHORT_TOKENS: u64 = 2_200;

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(600_000 + millis)
}

/// Returns a request of a service without a deferrable route.
pub(crate) fn unmanaged(service: &str, rank: u8, late_at: MonoTime) -> Waiter {
    Waiter {
        service: service.to_owned(),
        class: AdmissionClass::Unmanaged,
        rank,
        team: String::new(),
        tokens: SHORT_TOKENS,
        late_at,
        aged_at: late_at,
    }
}

/// Returns a short stream that arrives at `now`.
pub(crate) fn short(team: &str, now: MonoTime) -> Waiter {
    Waiter {
        service: ENGINES.to_owned(),
        class: AdmissionClass::Urgent,
        rank: 0,
        team: team.to_owned(),
        tokens: SHORT_TOKENS,
        late_at: now + Duration::from_millis(1_500),
        aged_at: now + Duration::from_millis(2_800),
    }
}

/// Returns a long stream that arrives at `now`.
pub(crate) fn long(team: &str, now: MonoTime) -> Waiter {
    Waiter {
        service: ENGINES.to_owned(),
        class: AdmissionClass::Deferrable,
        rank: 2,
        team: team.to_owned(),
        tokens: LONG_TOKENS,
        late_at: now + Duration::from_millis(4_000),
        aged_at: now + Duration::from_millis(7_500),
    }
}

/// Returns inputs of an estimate of 2 s: 20,000 tokens at 10,000 per second.
pub(crate) fn inputs() -> EstimateInputs {
    EstimateInputs {
        ahead_tokens: 17_000,
        late_tokens: 0,
        newer_tokens: 0,
        late_in: Duration::from_millis(1_500),
        own_tokens: 3_000,
        room_tokens: 0,
        promised_tokens: 0,
        freed_per_s: 10_000.0,
        freed_samples: 10.0,
        wait_ratio: (1.0, 0.0),
    }
}
