//! Faults in the responses of a fake.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::response::Response;
use tokio::sync::oneshot;

/// Progress of swapping two responses.
enum SwapState {
    /// Waits for the first response.
    Armed { keep_head: bool },
    /// Holds the first response back until the second one is ready.
    Holding { keep_head: bool, first: Response, first_sender: oneshot::Sender<Response> },
}

#[derive(Default)]
struct ResponseFaultState {
    delay: Duration,
    drop_count: u32,
    reset_on_drop: bool,
    swap: Option<SwapState>,
}

/// What happens to the connection of a dropped response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseDrop {
    /// It is reset.
    Reset,
    /// It stays open without a response.
    NoReply,
}

/// Faults in the responses of one fake.
#[derive(Default)]
pub(crate) struct ResponseFaults {
    state: Mutex<ResponseFaultState>,
}

impl ResponseFaults {
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub(crate) fn delay(&self) -> Duration {
        self.lock().delay
    }

    pub(crate) fn drop_next(&self, count: u32, reset: bool) {
        let mut state = self.lock();
        state.drop_count = count;
        state.reset_on_drop = reset;
    }

    pub(crate) fn arm_swap(&self, keep_head: bool) {
        self.lock().swap = Some(SwapState::Armed { keep_head });
    }

    pub(crate) fn clear(&self) {
        *self.lock() = ResponseFaultState::default();
    }

    /// Returns how to drop the next response, or `None` if it is to be sent.
    pub(crate) fn take_drop(&self) -> Option<ResponseDrop> {
        let mut state = self.lock();
        state.drop_count = state.drop_count.checked_sub(1)?;
        Some(if state.reset_on_drop { ResponseDrop::Reset } else { ResponseDrop::NoReply })
    }

    /// Returns the response to send in place of `response`. If a swap is armed, waits for the
    /// response to the next request.
    pub(crate) async fn swap(&self, response: Response) -> Response {
        let receiver = {
            let mut state = self.lock();
            match state.swap.take() {
                None => return response,
                Some(SwapState::Armed { keep_head }) => {
                    let (first_sender, receiver) = oneshot::channel();
                    state.swap =
                        Some(SwapState::Holding { keep_head, first: response, first_sender });
                    receiver
                }
                Some(SwapState::Holding { keep_head, first, first_sender }) => {
                    let (for_first, for_second) = swap_responses(first, response, keep_head);
                    // The send fails if the first client has closed its connection.
                    let _ = first_sender.send(for_first);
                    return for_second;
                }
            }
        };
        match receiver.await {
            Ok(response) => response,
            Err(_) => std::future::pending().await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ResponseFaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what to send to the first and to the second request.
fn swap_responses(first: Response, second: Response, keep_head: bool) -> (Response, Response) {
    if !keep_head {
        return (second, first);
    }
    let (first_head, first_body) = first.into_parts();
    let (second_head, second_body) = second.into_parts();
    (Response::from_parts(first_head, second_body), Response::from_parts(second_head, first_body))
}
