//! Builds the response to the caller from a server's response head.

use hyper::{HeaderMap, Response, StatusCode, header};

use crate::{HeaderNames, ResponseBody, ResponseHead};

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is hop-by-hop: by its name, or because the `Connection` header lists
/// it.
pub fn is_connection_header(headers: &HeaderMap, name: &str) -> bool {
    CONNECTION_HEADERS.contains(&name)
        || crate::response_head::has_token(headers, "connection", name)
}

/// Returns whether a caller would read a status as the statement that its request did not run. A
/// server's response with such a status, but without the header that states this, must not be
/// returned.
pub fn denies_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns whether a response is unaltered as far as its headers show: a successful response has a
/// signature, and no response has a content encoding, since callers never request one.
pub fn is_genuine(names: &HeaderNames, head: &ResponseHead) -> bool {
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return false;
    }
    !head.status.is_success() || head.headers.contains_key(names.signature)
}

/// Builds the response to the caller.
pub fn build(
    names: &HeaderNames,
    head: &ResponseHead,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        let text = name.as_str();
        if is_connection_header(&head.headers, text)
            || text == "content-length"
            || names.internal.contains(&text)
        {
            continue;
        }
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}
