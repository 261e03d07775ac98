//! The listener for users, workers and health checks.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use warp::{Filter, Rejection};

use crate::{
    coordination::{ApiRequest, ApiResponse},
    metrics::{self, Metrics, ShedConnection},
    protocol::{self, MAX_BODY_BYTES, ids::JobId, job::Submission, worker::Report},
    transport::connection_limiter,
};

/// Where a request's answer goes.
pub type ResponseSender = oneshot::Sender<ApiResponse>;
/// Requests from outside on their way to the owner.
pub type RequestSender = mpsc::UnboundedSender<(ApiRequest, ResponseSender)>;

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn error_response(status: StatusCode, error: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(protocol::encode(&serde_json::json!({
        "error": error
    }))));
    *response.status_mut() = status;
    response
}

async fn dispatch(door: RequestSender, ask: ApiRequest) -> Result<Response<Bytes>, Infallible> {
    let (send, receive) = oneshot::channel();
    if door.send((ask, send)).is_err() {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    let Ok(answer) = receive.await else {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    };
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(seconds) = answer.retry_after_s {
        response.headers_mut().insert("retry-after", seconds.into());
    }
    Ok(response)
}

async fn submit(door: RequestSender, body: Bytes) -> Result<Response<Bytes>, Infallible> {
    match Submission::from_body(&body) {
        Ok(submission) => {
            let mut response = dispatch(door, ApiRequest::Submit(Box::new(submission))).await?;
            // Over the same connection its user would come back to this node, however little comes to the
            // others: when a deployment starts all come to the node that is ready first.
            if response.status() == StatusCode::TOO_MANY_REQUESTS {
                set_connection_close(&mut response);
            }
            Ok(response)
        }
        Err(error) => Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

async fn dispatch_for_job(
    door: RequestSender,
    id: String,
    question: fn(JobId) -> ApiRequest,
) -> Result<Response<Bytes>, Infallible> {
    match id.parse() {
        Ok(id) => dispatch(door, question(id)).await,
        Err(_) => Ok(error_response(StatusCode::NOT_FOUND, "no such job")),
    }
}

/// Has the client come back over a new connection where that is called for.
fn close_if_scarce(
    mut response: Response<Bytes>,
    sockets: &connection_limiter::ConnectionLimiter,
    what: ShedConnection,
) -> Response<Bytes> {
    if sockets.should_shed(what) {
        set_connection_close(&mut response);
    }
    response
}

fn set_connection_close(response: &mut Response<Bytes>) {
    let close = http::HeaderValue::from_static("close");
    let headers = response.headers_mut();
    headers.insert(http::header::CONNECTION, close);
}

async fn heartbeat(door: RequestSender, body: Bytes) -> Result<Response<Bytes>, Infallible> {
    match protocol::decode::<Report>(&body) {
        Ok(report) => dispatch(door, ApiRequest::Heartbeat(Box::new(report))).await,
        Err(error) => {
            tracing::warn!(%error, "a worker's report can't be read");
            Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()))
        }
    }
}

fn metrics_response(metrics: &Metrics) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(metrics.render()));
    let media_type = http::HeaderValue::from_static(metrics::MEDIA_TYPE);
    response.headers_mut().insert("content-type", media_type);
    response
}

async fn handle_rejection(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some()
        || rejection.find::<warp::reject::LengthRequired>().is_some()
    {
        // 413 would be sent again for a minute; a body this large is malformed for good.
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "the body is too large",
        ));
    }
    Ok(empty_response(StatusCode::NOT_FOUND))
}

/// A client that asks nothing for this long has left: users poll every 5 s. Workers that report less often
/// are waited for longer. Behind a cut no end of a connection is ever heard of, and sockets are few.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves requests until the process ends, over at most `connections` connections. Workers report every
/// `report`, give or take a quarter.
pub async fn serve(
    listener: TcpListener,
    door: RequestSender,
    connections: usize,
    report: Duration,
    metrics: Arc<Metrics>,
) {
    let idle = CLIENT_IDLE_TIMEOUT.max(report * 2);
    let sockets = Arc::new(connection_limiter::ConnectionLimiter::new(
        connections,
        metrics.clone(),
    ));
    let (polled, reported) = (sockets.clone(), sockets.clone());
    let with_door = warp::any().map(move || door.clone());
    let body = || warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes());
    let submit = with_door
        .clone()
        .and(warp::path!("v2" / "runs"))
        .and(warp::post())
        .and(body())
        .and_then(submit);
    let poll = with_door
        .clone()
        .and(warp::path!("v2" / "runs" / String))
        .and(warp::get())
        .and_then(|door, id| dispatch_for_job(door, id, ApiRequest::Poll))
        .map(move |response| close_if_scarce(response, &polled, ShedConnection::AfterPoll));
    let cancel = with_door
        .clone()
        .and(warp::path!("v2" / "runs" / String / "abort"))
        .and(warp::post())
        .and_then(|door, id| dispatch_for_job(door, id, ApiRequest::Cancel));
    let check_in = with_door
        .clone()
        .and(warp::path!("checkin"))
        .and(warp::post())
        .and(body())
        .and_then(heartbeat)
        .map(move |response| close_if_scarce(response, &reported, ShedConnection::AfterReport));
    let ready = with_door
        .and(warp::path!("ready"))
        .and(warp::get())
        .and_then(|door| dispatch(door, ApiRequest::Readiness));
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .map(move || metrics_response(&metrics));
    let routes = check_in
        .or(poll)
        .unify()
        .or(submit)
        .unify()
        .or(cancel)
        .unify()
        .or(ready)
        .unify()
        .or(metrics)
        .unify()
        .recover(handle_rejection);
    let service = TowerToHyperService::new(warp::service(routes));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(idle);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "accept");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // Refused at once: the load balancer and the workers try another node.
        let Some(place) = sockets.try_acquire() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = http.serve_connection(TokioIo::new(stream), service.clone());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%error, "connection");
            }
            drop(place);
        });
    }
}
