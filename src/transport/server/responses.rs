//! HTTP responses of the server.

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};

use crate::{
    coordination::ApiResponse,
    metrics::{self, Metrics},
    protocol,
};

/// A response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Bytes> {
    with_status(status, Bytes::new())
}

/// A response whose body says what was wrong with the request.
pub(super) fn error_response(status: StatusCode, error: &str) -> Response<Bytes> {
    let body = protocol::encode(&serde_json::json!({ "error": error }));
    with_status(status, Bytes::from(body))
}

/// Converts a response of the event loop to an HTTP response.
pub(super) fn api_response(response: ApiResponse) -> Response<Bytes> {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut http_response = with_status(status, Bytes::from(response.body));
    if let Some(seconds) = response.retry_after_s {
        http_response
            .headers_mut()
            .insert(RETRY_AFTER, seconds.into());
    }
    http_response
}

/// The response to a request for the metrics, as text.
pub(super) fn metrics_response(metrics: &Metrics) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(metrics.render()));
    let media_type = HeaderValue::from_static(metrics::MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Sets `Connection: close`, so that the client reconnects for its next request.
pub(super) fn set_connection_close(response: &mut Response<Bytes>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
