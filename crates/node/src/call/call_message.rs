//! Messages about calls that are not idempotent.

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, MonoTime, ServiceError};
use dragonflycart_state::{CallKey, ClaimId, DispatchPermit, OutcomeRecord};
use tokio::sync::oneshot;

/// Request to claim a call.
#[derive(Debug, Clone)]
pub(crate) struct ClaimRequest {
    /// Team and idempotency key.
    pub(crate) key: CallKey,
    /// Digest of service, operation and body.
    pub(crate) digest: Bytes,
    /// Number of the caller's attempt; zero if not stated.
    pub(crate) attempt: u32,
    /// Time by which the caller wants an answer. Nothing is sent after it.
    pub(crate) deadline: MonoTime,
}

/// Claim of this VM that waits behind the claim of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitingClaim {
    /// Claim of this VM.
    pub(crate) own: ClaimId,
    /// Claim that owns the call.
    pub(crate) owner: ClaimId,
}

/// What the ledger decided about a call.
#[derive(Debug)]
pub(crate) enum ClaimDecision {
    /// This VM owns the call and may send it.
    Owner(ClaimId),
    /// The call ran with this answer.
    Answered(OutcomeRecord),
    /// Another claim owns the call and its outcome is not in the log yet.
    OwnedElsewhere(WaitingClaim),
    /// The caller gets this error.
    Refused(ServiceError),
}

/// Message about a call.
#[derive(Debug)]
pub(crate) enum CallMessage {
    /// Claim a call and wait until its owner is known.
    Claim(ClaimRequest, oneshot::Sender<ClaimDecision>),
    /// Wait for the outcome of a call that another claim owns.
    Await(ClaimId, oneshot::Sender<ClaimDecision>),
    /// Hand out the permit of a claim, if it may be sent now.
    TakePermit(ClaimId, oneshot::Sender<Option<DispatchPermit>>),
    /// Take back a permit; nothing was sent.
    ReturnPermit(DispatchPermit),
    /// The call was sent and ended; status zero means that the answer was lost.
    Settle(ClaimId, u32, Bytes),
    /// Give a claim up before anything was sent.
    GiveUp(ClaimId, ErrorKind, oneshot::Sender<ClaimDecision>),
    /// A backend server says that the call of another claim ran.
    Found(CallKey, OutcomeRecord),
    /// Read the outcome of a call.
    Fetch(CallKey, oneshot::Sender<Option<OutcomeRecord>>),
}
