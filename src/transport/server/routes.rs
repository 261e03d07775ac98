//! The HTTP routes, which decode requests and send them to the event loop.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::sync::oneshot;
use warp::{Filter, Rejection};

use crate::{
    coordination::ApiRequest,
    metrics::{Metrics, ShedConnection},
    protocol::{self, MAX_BODY_BYTES, ids::JobId, job::Submission, worker::Report},
    transport::connection_limiter::ConnectionLimiter,
};

use super::{
    RequestSender,
    responses::{
        api_response, empty_response, error_response, metrics_response, set_connection_close,
    },
};

/// All routes; the response to any other path is 404.
pub(super) fn routes(
    requests: RequestSender,
    limiter: Arc<ConnectionLimiter>,
    metrics: Arc<Metrics>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone {
    let (poll_limiter, report_limiter) = (limiter.clone(), limiter);
    let requests = warp::any().map(move || requests.clone());
    let body = || warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes());
    let submit = requests
        .clone()
        .and(warp::path!("v2" / "runs"))
        .and(warp::post())
        .and(body())
        .and_then(submit);
    let poll = requests
        .clone()
        .and(warp::path!("v2" / "runs" / String))
        .and(warp::get())
        .and_then(|requests, id| dispatch_for_job(requests, id, ApiRequest::Poll))
        .map(move |response| close_if_scarce(response, &poll_limiter, ShedConnection::AfterPoll));
    let cancel = requests
        .clone()
        .and(warp::path!("v2" / "runs" / String / "abort"))
        .and(warp::post())
        .and_then(|requests, id| dispatch_for_job(requests, id, ApiRequest::Cancel));
    let heartbeat = requests
        .clone()
        .and(warp::path!("checkin"))
        .and(warp::post())
        .and(body())
        .and_then(heartbeat)
        .map(move |response| {
            close_if_scarce(response, &report_limiter, ShedConnection::AfterReport)
        });
    let readiness = requests
        .and(warp::path!("ready"))
        .and(warp::get())
        .and_then(|requests| dispatch(requests, ApiRequest::Readiness));
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .map(move || metrics_response(&metrics));
    heartbeat
        .or(poll)
        .unify()
        .or(submit)
        .unify()
        .or(cancel)
        .unify()
        .or(readiness)
        .unify()
        .or(metrics)
        .unify()
        .recover(handle_rejection)
}

async fn dispatch(
    requests: RequestSender,
    request: ApiRequest,
) -> Result<Response<Bytes>, Infallible> {
    let (send, receive) = oneshot::channel();
    if requests.send((request, send)).is_err() {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(match receive.await {
        Ok(response) => api_response(response),
        Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    })
}

async fn submit(requests: RequestSender, body: Bytes) -> Result<Response<Bytes>, Infallible> {
    let submission = match Submission::from_body(&body) {
        Ok(submission) => submission,
        Err(error) => {
            return Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()));
        }
    };
    let mut response = dispatch(requests, ApiRequest::Submit(Box::new(submission))).await?;
    // Over the same connection the user would retry at this node even if other nodes have less load:
    // when a deployment starts, all users connect to the node that is ready first.
    if response.status() == StatusCode::TOO_MANY_REQUESTS {
        set_connection_close(&mut response);
    }
    Ok(response)
}

async fn dispatch_for_job(
    requests: RequestSender,
    id: String,
    request: fn(JobId) -> ApiRequest,
) -> Result<Response<Bytes>, Infallible> {
    match id.parse() {
        Ok(id) => dispatch(requests, request(id)).await,
        Err(_) => Ok(error_response(StatusCode::NOT_FOUND, "no such job")),
    }
}

async fn heartbeat(requests: RequestSender, body: Bytes) -> Result<Response<Bytes>, Infallible> {
    match protocol::decode::<Report>(&body) {
        Ok(report) => dispatch(requests, ApiRequest::Heartbeat(Box::new(report))).await,
        Err(error) => {
            tracing::warn!(%error, "malformed heartbeat from worker");
            Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()))
        }
    }
}

/// Closes the connection after the response if few connections are left.
fn close_if_scarce(
    mut response: Response<Bytes>,
    limiter: &ConnectionLimiter,
    connection: ShedConnection,
) -> Response<Bytes> {
    if limiter.should_shed(connection) {
        set_connection_close(&mut response);
    }
    response
}

async fn handle_rejection(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some()
        || rejection.find::<warp::reject::LengthRequired>().is_some()
    {
        // Clients retry after a 413 for a minute, but a body this large never becomes valid.
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "the body is too large",
        ));
    }
    Ok(empty_response(StatusCode::NOT_FOUND))
}
