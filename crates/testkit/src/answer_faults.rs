//! Faults in the responses of a fake.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::response::Response;
use tokio::sync::oneshot;

/// Progress of an exchange of two responses.
enum SwapSlot {
    Armed { keep_head: bool },
    Holding { keep_head: bool, first: Response, reply: oneshot::Sender<Response> },
}

#[derive(Default)]
struct AnswerState {
    delay: Duration,
    lose_count: u32,
    lose_by_reset: bool,
    swap: Option<SwapSlot>,
}

/// Way in which a response is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerLoss {
    Reset,
    Silence,
}

/// Faults in the responses of one fake.
#[derive(Default)]
pub(crate) struct AnswerFaults {
    state: Mutex<AnswerState>,
}

impl AnswerFaults {
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub(crate) fn delay(&self) -> Duration {
        self.lock().delay
    }

    pub(crate) fn lose_next(&self, count: u32, reset: bool) {
        let mut state = self.lock();
        state.lose_count = count;
        state.lose_by_reset = reset;
    }

    pub(crate) fn arm_swap(&self, keep_head: bool) {
        self.lock().swap = Some(SwapSlot::Armed { keep_head });
    }

    pub(crate) fn clear(&self) {
        *self.lock() = AnswerState::default();
    }

    /// Returns how the next response is lost, if it is.
    pub(crate) fn take_loss(&self) -> Option<AnswerLoss> {
        let mut state = self.lock();
        state.lose_count = state.lose_count.checked_sub(1)?;
        Some(if state.lose_by_reset { AnswerLoss::Reset } else { AnswerLoss::Silence })
    }

    /// Returns the response to send in place of `response`.
    pub(crate) async fn exchange(&self, response: Response) -> Response {
        let receiver = {
            let mut state = self.lock();
            match state.swap.take() {
                None => return response,
                Some(SwapSlot::Armed { keep_head }) => {
                    let (reply, receiver) = oneshot::channel();
                    state.swap = Some(SwapSlot::Holding { keep_head, first: response, reply });
                    receiver
                }
                Some(SwapSlot::Holding { keep_head, first, reply }) => {
                    let (for_first, for_second) = cross(first, response, keep_head);
                    // A client that has closed its connection needs no response.
                    let _ = reply.send(for_first);
                    return for_second;
                }
            }
        };
        match receiver.await {
            Ok(response) => response,
            Err(_) => std::future::pending().await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the responses for the first and the second request.
fn cross(first: Response, second: Response, keep_head: bool) -> (Response, Response) {
    if !keep_head {
        return (second, first);
    }
    let (first_head, first_body) = first.into_parts();
    let (second_head, second_body) = second.into_parts();
    (Response::from_parts(first_head, second_body), Response::from_parts(second_head, first_body))
}
