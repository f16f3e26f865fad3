//! Question where a request would go.

use serde::{Deserialize, Serialize};

/// Question where a request would go now. Written as the query string of a URL.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementQuestion {
    /// Name of the request's route, instead of its method and path.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Method of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Path of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Host of the request. Needed if the path has routes on several hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Service of the route. The one with the largest weight if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Team of the caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Tokens of the prompt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u64>,
    /// Output tokens that the caller expects.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output_tokens: Option<u64>,
    /// ID of the longest part of the prompt that other requests share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shared_part: Option<String>,
    /// Seed of the random part and of the sample of servers. A random one if there is none, as for
    /// a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}
