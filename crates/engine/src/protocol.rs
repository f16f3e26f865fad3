//! Names of the HTTP protocol between entry VMs and backend servers, see
//! `docs/backend-protocol.md`.

/// Header with the identity of one exchange; the response repeats the value of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Response header with the identity of the server's process, a decimal number.
pub const INSTANCE_HEADER: &str = "x-server-instance";
/// Header with the caller's idempotency key; responses to a lookup repeat it.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header of a lookup with the status that the executed call was answered with.
pub const OUTCOME_STATUS_HEADER: &str = "x-outcome-status";

/// Request header of a call with the "zone/seat" that holds a cold-start slot for it.
pub const ORDINAL_HEADER: &str = "x-seat";

/// Path of the generations of an engine.
pub const GENERATIONS_PATH: &str = "/v1/generations";
/// Path of the load report, of engines and plain services.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the changes of an engine's prefix cache.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// Path that accepts orders to an engine.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path prefix of the operations of a plain service.
pub const OPERATIONS_PATH: &str = "/v1/operations";
/// Path of the lookup of executed calls of a plain service.
pub const OUTCOMES_PATH: &str = "/v1/outcomes";

/// Percent-encodes `text` for use as one segment of a path. Generation ids hold names, and a name
/// may hold "/" and ":".
pub fn encode_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
            continue;
        }
        encoded.push_str(&format!("%{byte:02X}"));
    }
    encoded
}
