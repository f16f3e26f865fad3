//! Which response on a connection answers a request.

use crate::ResponseHead;

/// How the response to a request is told from late and extra responses to other requests.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ExpectedResponse<'a> {
    /// It is the first one. For new connections only.
    First,
    /// It echoes the request's identity in a header.
    Echo {
        /// Name of the header.
        name: &'a str,
        /// Identity of the request.
        value: &'a str,
    },
    /// It answers a call about an attempt: it names that attempt in a header, or none.
    Call {
        /// Name of the header.
        name: &'a str,
        /// The attempt.
        attempt: &'a str,
    },
}

impl ExpectedResponse<'_> {
    /// Returns the identity that a later request on the connection must not have.
    pub(crate) fn identity(&self) -> Option<&str> {
        match self {
            ExpectedResponse::First => None,
            ExpectedResponse::Echo { value, .. } => Some(value),
            ExpectedResponse::Call { attempt, .. } => Some(attempt),
        }
    }

    /// Returns whether a response answers the request. `is_reused` tells whether the connection was
    /// used before.
    pub(crate) fn is_met_by(&self, response: &ResponseHead, is_reused: bool) -> bool {
        match self {
            ExpectedResponse::First => true,
            ExpectedResponse::Echo { name, value } => match response.text(name) {
                Some(echoed) => echoed == *value,
                None => !is_reused && !response.status.is_success(),
            },
            ExpectedResponse::Call { name, attempt } => {
                response.text(name).is_none_or(|echoed| echoed == *attempt)
            }
        }
    }

    /// Returns whether a response lacks the echo that it should have.
    pub(crate) fn lacks_echo(&self, response: &ResponseHead) -> bool {
        match self {
            ExpectedResponse::Echo { name, .. } => response.text(name).is_none(),
            ExpectedResponse::First | ExpectedResponse::Call { .. } => false,
        }
    }
}
