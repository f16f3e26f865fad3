//! Engine memory that a waiting request counts for.

use crate::{CallerRequest, GatewayContext};

/// Returns the engine memory that a request counts for in the wait queue, in tokens. It is limited
/// to that of one engine, which is what a larger request gets. Without the limit, one implausibly
/// large request would make the estimates of all requests behind it too long.
pub(crate) fn engine_tokens(context: &GatewayContext, request: &CallerRequest) -> u64 {
    let tokens = request.demand.reserved_tokens();
    let engine = context.view().engine_spec(&request.service);
    engine.map_or(tokens, |engine| tokens.min(engine.memory_tokens))
}
