//! Headers and paths of the HTTP protocol between entry VMs and backend servers, which
//! `docs/backend-protocol.md` describes.

/// Header with the id of a request; the response repeats it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Response header that identifies the server's process by a decimal number.
pub const INSTANCE_HEADER: &str = "x-server-instance";
/// Header with the caller's idempotency key; the response to a lookup repeats it.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header of a lookup with the status of the response to the executed call.
pub const OUTCOME_STATUS_HEADER: &str = "x-outcome-status";

/// Request header of a call with the entry VM, as "zone/ordinal", that holds a cold-start slot for
/// the call.
pub const ORDINAL_HEADER: &str = "x-seat";

/// Path of the generations of an engine.
pub const GENERATIONS_PATH: &str = "/v1/generations";
/// Path of the load report of an engine or plain service.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the events of an engine's prefix cache.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// Path that accepts orders to an engine.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path prefix of the operations of a plain service.
pub const OPERATIONS_PATH: &str = "/v1/operations";
/// Path of a plain service that looks up executed calls.
pub const OUTCOMES_PATH: &str = "/v1/outcomes";

/// Percent-encodes `text` for use as one segment of a path. Generation ids contain names, and a
/// name may contain "/" and ":".
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
