//! Parsing of response heads.

use std::time::Duration;

use dragonflycart_gateway::{BodyFraming, ConnectionError, ResponseHead};

fn parse(text: &str) -> Result<Option<(ResponseHead, usize)>, ConnectionError> {
    ResponseHead::parse(text.as_bytes())
}

#[test]
fn framing_follows_the_headers() {
    let cases = [
        ("content-length: 5", BodyFraming::Length(5)),
        ("transfer-encoding: chunked", BodyFraming::Chunked),
        ("x: y", BodyFraming::UntilClose),
    ];
    for (header, framing) in cases {
        let (head, _) = parse(&format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n")).unwrap().unwrap();
        assert_eq!(head.framing, framing, "{header}");
    }
}

/// If the gateway and a server disagree on the end of a response, a caller may receive bytes of
/// another response.
#[test]
fn contradicting_framing_is_refused() {
    for headers in [
        "content-length: 5\r\ncontent-length: 6",
        "content-length: 5\r\ntransfer-encoding: chunked",
        "transfer-encoding: gzip",
        "content-length: +5",
        "content-length: ",
    ] {
        let result = parse(&format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n"));
        assert!(matches!(result, Err(ConnectionError::Malformed)), "{headers}");
    }
}

#[test]
fn bytes_that_are_no_response_are_refused() {
    assert!(matches!(parse("garbage here\r\n\r\n"), Err(ConnectionError::Malformed)));
    assert!(matches!(parse("HTTP/1.1 200 OK\r\nconte"), Ok(None)));
}

#[test]
fn connection_is_kept_only_where_it_can_be() {
    let keeps = |text: &str| parse(text).unwrap().unwrap().0.keeps_alive;

    assert!(keeps("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
    assert!(!keeps(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nConnection: keep-alive, Close\r\n\r\n"
    ));
    assert!(!keeps("HTTP/1.1 200 OK\r\n\r\n"));
    assert!(!keeps("HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n"));
}

#[test]
fn idle_limit_is_read_from_the_header() {
    let (head, _) =
        parse("HTTP/1.1 200 OK\r\nkeep-alive: timeout=7, max=5\r\n\r\n").unwrap().unwrap();

    assert_eq!(head.idle_limit(), Some(std::time::Duration::from_secs(7)));
}

#[test]
fn pause_that_a_server_wants_is_in_seconds() {
    let cases = [
        ("retry-after: 2", Some(Duration::from_secs(2))),
        ("retry-after: 0.25", Some(Duration::from_millis(250))),
        ("retry-after: 1e30", None),
        ("retry-after: -1", None),
        ("retry-after: Fri, 31 Dec 1999 23:59:59 GMT", None),
        ("retry-after: 100000", Some(Duration::from_secs(600))),
        ("x: y", None),
    ];
    for (header, pause) in cases {
        let (head, _) = parse(&format!("HTTP/1.1 503 Busy\r\n{header}\r\n\r\n")).unwrap().unwrap();
        assert_eq!(head.retry_after(), pause, "{header}");
    }
}

/// Guards against an answer of a server in trouble that passes for one (MIXED): its status is outside
/// the classes of the protocol.
#[test]
fn status_outside_the_classes_is_refused() {
    for status in ["000", "001", "099", "600", "700", "999", "20", "2000", "-20", "2x0"] {
        let result = parse(&format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n"));
        assert!(matches!(result, Err(ConnectionError::Malformed)), "{status}");
    }
    for status in [100, 200, 299, 404, 599] {
        let (head, _) = parse(&format!("HTTP/1.1 {status} OK\r\n\r\n")).unwrap().unwrap();
        assert_eq!(head.status.as_u16(), status);
    }
}

/// Guards against the same with a name that holds a blank or a control byte: a caller got that line, or
/// a body with another end than the server's.
#[test]
fn field_name_with_a_blank_or_a_control_byte_is_refused() {
    let names = [
        "content -length",
        "content-length ",
        " content-length",
        "content\tlength",
        "a\x01b",
        "a\x7fb",
        "a\x0bb",
        "",
        "a(b",
        "a\u{e9}b",
    ];
    for name in names {
        for place in ["{}: 5\r\nx: y", "x: y\r\n{}: 5"] {
            let headers = place.replace("{}", name);
            let result = parse(&format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n"));
            assert!(matches!(result, Err(ConnectionError::Malformed)), "{headers:?}");
        }
    }
}
