//! Body of a generation request.
//!
//! The fields are those that widely used client libraries send to a completions endpoint. Options
//! that are not passed on to the engines are rejected rather than silently ignored.

use dragonflycart_core::{ErrorKind, ModelName, ServiceError};
use serde::Deserialize;

/// Default output limit, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Highest output limit that a request may set, in tokens.
const MAX_TOKENS_LIMIT: u32 = 100_000;

/// Body of a generation request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CompletionRequest {
    /// Model name.
    pub(crate) model: ModelName,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
    /// Whether to respond with an event stream.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Sampling seed, chosen at random if absent.
    #[serde(default)]
    pub(crate) seed: Option<u64>,
    /// End user on whose behalf the request is made. Accepted for compatibility and not used.
    #[serde(default)]
    #[expect(dead_code, reason = "accepted for compatibility with client libraries")]
    user: Option<String>,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl CompletionRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] or [`ErrorKind::TooLarge`] with a message that names the field.
    pub(crate) fn parse(
        body: &[u8],
        prompt_limit: usize,
    ) -> Result<CompletionRequest, ServiceError> {
        let request: CompletionRequest = serde_json::from_slice(body)
            .map_err(|error| ServiceError::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if request.prompt.is_empty() {
            return Err(ServiceError::new(ErrorKind::BadRequest, "prompt: must not be empty"));
        }
        if request.prompt.len() > prompt_limit {
            let found = request.prompt.len();
            let message = format!("prompt: {found} bytes, at most {prompt_limit} are allowed");
            return Err(ServiceError::new(ErrorKind::TooLarge, message));
        }
        if request.max_tokens == 0 || request.max_tokens > MAX_TOKENS_LIMIT {
            let found = request.max_tokens;
            let message = format!("max_tokens: {found}, allowed is 1 to {MAX_TOKENS_LIMIT}");
            return Err(ServiceError::new(ErrorKind::BadRequest, message));
        }
        Ok(request)
    }
}
