//! Tests of the clients with a server whose responses are not of the protocol.

use dragonflycart_engine::{
    CallFailure, HttpServiceClient, ServiceClient,
    protocol::{IDEMPOTENCY_KEY_HEADER, OUTCOME_STATUS_HEADER, REQUEST_ID_HEADER},
};

use crate::{
    fixtures::{call, short_options},
    repeated_responses::{RepeatedResponse, header, repeating_server},
};

/// Returns a response with a status line and one more header.
fn response(request: &str, status: &str, extra: &str) -> String {
    let id = header(request, REQUEST_ID_HEADER);
    format!(
        "HTTP/1.1 {status} X\r\n{REQUEST_ID_HEADER}: {id}\r\n{extra}content-length: 2\r\n\r\nok"
    )
}

/// Guards against bytes of a server in trouble that pass as the response to a call: a status outside
/// the protocol, or a header name with a blank or a control byte.
#[tokio::test]
async fn response_that_is_not_of_the_protocol_is_no_response_to_a_call() {
    let responds: [fn(usize, &str) -> String; 4] = [
        |_, request| response(request, "000", ""),
        |_, request| response(request, "600", ""),
        |_, request| response(request, "200", "a b: c\r\n"),
        |_, request| response(request, "200", "a\x01b: c\r\n"),
    ];
    for (number, respond) in responds.into_iter().enumerate() {
        let address = repeating_server(RepeatedResponse::First, respond).await;
        let client = HttpServiceClient::new(address, short_options());

        let result = client.call(call("r-1", "k-1")).await;

        assert_eq!(result.err(), Some(CallFailure::MaybeSent), "response {number}");
    }
}

/// Guards against the same in the outcome of an earlier call.
#[tokio::test]
async fn outcome_with_a_status_outside_the_protocol_is_none() {
    fn outcome(request: &str, status: u32) -> String {
        let key = header(request, IDEMPOTENCY_KEY_HEADER);
        let extra =
            format!("{IDEMPOTENCY_KEY_HEADER}: {key}\r\n{OUTCOME_STATUS_HEADER}: {status}\r\n");
        response(request, "200", &extra)
    }
    let responds: [fn(usize, &str) -> String; 3] = [
        |_, request| outcome(request, 0),
        |_, request| outcome(request, 100),
        |_, request| outcome(request, 600),
    ];
    for (number, respond) in responds.into_iter().enumerate() {
        let address = repeating_server(RepeatedResponse::First, respond).await;
        let client = HttpServiceClient::new(address, short_options());

        let result = client.lookup(&"k-1".parse().unwrap()).await;

        assert_eq!(result.err(), Some(CallFailure::MaybeSent), "outcome {number}");
    }
}
