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
    /// Number of the caller's attempt, or zero if the caller did not state it.
    pub(crate) attempt: u32,
    /// Time by which the caller wants the response. The call is not sent after it.
    pub(crate) deadline: MonoTime,
}

/// Claim of this VM on a call that another claim owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitingClaim {
    /// Claim of this VM.
    pub(crate) own: ClaimId,
    /// The claim that owns the call.
    pub(crate) owner: ClaimId,
}

/// Decision of the ledger about a claim.
#[derive(Debug)]
pub(crate) enum ClaimDecision {
    /// This VM owns the call and may send it.
    Owner(ClaimId),
    /// The ledger has this outcome of the call.
    Answered(OutcomeRecord),
    /// Another claim owns the call and its outcome is not in the log yet.
    OwnedElsewhere(WaitingClaim),
    /// The caller must get this error.
    Refused(ServiceError),
}

/// Message to the control thread about a call.
#[derive(Debug)]
pub(crate) enum CallMessage {
    /// Claim a call. The reply is sent once it is known which claim owns the call.
    Claim(ClaimRequest, oneshot::Sender<ClaimDecision>),
    /// Wait for the outcome of a call that another claim owns.
    Await(ClaimId, oneshot::Sender<ClaimDecision>),
    /// Take the permit of a claim. The reply is `None` if the call must not be sent.
    TakePermit(ClaimId, oneshot::Sender<Option<DispatchPermit>>),
    /// Return a permit after an attempt that sent nothing.
    ReturnPermit(DispatchPermit),
    /// Record the outcome of a call that was sent. Status zero means that the response was lost.
    RecordOutcome(ClaimId, u32, Bytes),
    /// Give up a claim before anything was sent.
    GiveUp(ClaimId, ErrorKind, oneshot::Sender<ClaimDecision>),
    /// Record the outcome of another claim's call, as looked up at a backend server.
    Found(CallKey, OutcomeRecord),
    /// Read the recorded outcome of a call.
    Fetch(CallKey, oneshot::Sender<Option<OutcomeRecord>>),
}
