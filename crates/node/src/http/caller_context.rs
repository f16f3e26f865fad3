//! What the request headers say about the caller and its request.

use std::time::Duration;

use axum::http::{HeaderMap, header};
use dragonflycart_core::{ErrorKind, RequestKey, RouteName, ServiceError, TeamName};
use dragonflycart_settings::Config;

/// Route of a request without an `x-route` header.
const DEFAULT_ROUTE: &str = "default";
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// What the request headers say about the caller and its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerContext {
    /// Team, authenticated by its credential.
    pub(crate) team: TeamName,
    /// Kind of request.
    pub(crate) route: RouteName,
    /// Idempotency key.
    pub(crate) key: Option<RequestKey>,
    /// Time within which the caller needs the complete response.
    pub(crate) deadline: Option<Duration>,
    /// Number of the caller's attempt under this key, or zero if the caller did not state it.
    pub(crate) attempt: u32,
}

impl CallerContext {
    /// Reads and checks the headers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] with a message that names the header, or
    /// [`ErrorKind::Unauthorized`].
    pub(crate) fn from_headers(
        headers: &HeaderMap,
        config: &Config,
    ) -> Result<CallerContext, ServiceError> {
        let team: TeamName = parse_header(headers, "x-team")?
            .ok_or_else(|| ServiceError::new(ErrorKind::BadRequest, "x-team: header is missing"))?;
        check_credential(headers, config, &team)?;
        let route = match parse_header(headers, "x-route")? {
            Some(route) => route,
            None => RouteName::new(DEFAULT_ROUTE).map_err(|error| bad("x-route", error))?,
        };
        let deadline = parse_header::<u64>(headers, "x-deadline-ms")?.map(Duration::from_millis);
        if deadline.is_some_and(|span| span.is_zero() || span > MAX_DEADLINE) {
            let limit = MAX_DEADLINE.as_millis();
            return Err(bad("x-deadline-ms", format!("allowed is 1 to {limit}")));
        }
        Ok(CallerContext {
            team,
            route,
            key: parse_header(headers, "idempotency-key")?,
            deadline,
            attempt: parse_header(headers, "x-attempt")?.unwrap_or(0),
        })
    }
}

fn bad(name: &str, reason: impl std::fmt::Display) -> ServiceError {
    ServiceError::new(ErrorKind::BadRequest, format!("{name}: {reason}"))
}

/// Parses the value of a header. Returns `None` if the header is absent.
pub(crate) fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, ServiceError>
where
    T::Err: std::fmt::Display,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad(name, "the value is not ASCII text"))?;
    text.trim().parse().map(Some).map_err(|error| bad(name, error))
}

/// Returns the bearer token of the `Authorization` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

fn check_credential(
    headers: &HeaderMap,
    config: &Config,
    team: &TeamName,
) -> Result<(), ServiceError> {
    let unauthorized =
        || ServiceError::new(ErrorKind::Unauthorized, "the team or its credential is not known");
    let settings = config.teams.get(team).ok_or_else(unauthorized)?;
    let credential = bearer_token(headers).ok_or_else(unauthorized)?;
    if settings.credential.matches(credential) { Ok(()) } else { Err(unauthorized()) }
}
