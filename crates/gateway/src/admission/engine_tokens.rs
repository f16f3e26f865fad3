//! Engine memory that a waiting request counts for.

use crate::{CallerRequest, GatewayContext};

/// Returns the engine memory that a request needs, in tokens. It is that of one engine at most, which
/// is what a larger one gets. Otherwise, one caller that states nonsense would make the estimates of
/// all requests behind it too long.
pub(crate) fn engine_tokens(context: &GatewayContext, request: &CallerRequest) -> u64 {
    let tokens = request.demand.reserved_tokens();
    let engine = context.view().engine_spec(&request.service);
    engine.map_or(tokens, |engine| tokens.min(engine.memory_tokens))
}
