//! Answer to a question on the status address.

use bytes::Bytes;
use dragonflycart_explanation::{FaultKind, PlacementFault, PlacementQuestion};
use hyper::{Method, Response, StatusCode, Uri, header};

use super::explain_request;
use crate::{GatewayContext, ResponseBody, response_body};

/// Answers a question. The state is locked only while the answer is built, not while it is encoded
/// or written.
pub(crate) fn answer(
    context: &GatewayContext,
    method: &Method,
    uri: &Uri,
) -> Response<ResponseBody> {
    if method != Method::GET {
        let mut response = Response::new(response_body::full(Bytes::new()));
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
        return response;
    }
    let answer = read_question(uri).and_then(|question| explain_request(context, &question));
    let (status, body) = match &answer {
        Ok(answer) => (StatusCode::OK, serde_json::to_vec(answer)),
        Err(fault) => {
            let status = StatusCode::from_u16(fault.error.status());
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            (status, serde_json::to_vec(fault))
        }
    };
    let mut response = Response::new(response_body::full(Bytes::from(body.unwrap_or_default())));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn read_question(uri: &Uri) -> Result<PlacementQuestion, PlacementFault> {
    serde_urlencoded::from_str(uri.query().unwrap_or(""))
        .map_err(|error| PlacementFault::new(FaultKind::BadQuestion, error.to_string()))
}
