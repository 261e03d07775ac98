//! The HTTP server for users, workers and health checks, with its accept loop.

use std::{sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinSet,
};

use crate::{
    coordination::{ApiRequest, ApiResponse},
    metrics::Metrics,
    transport::connection_limiter::ConnectionLimiter,
};

mod responses;
mod routes;

/// The channel for the response to a request.
pub type ResponseSender = oneshot::Sender<ApiResponse>;
/// A request, and the channel for its response.
pub type IncomingRequest = (ApiRequest, ResponseSender);
/// The sending end of the queue of requests to the event loop.
pub type RequestSender = mpsc::UnboundedSender<IncomingRequest>;

/// The connection of a client that sends nothing for this long is closed: users poll every 5 s. If
/// the heartbeat interval of workers is long, the timeout is longer. In a network partition the node
/// never receives the close of a connection, and sockets are limited.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves requests over at most `max_connections` connections until the future is dropped, which
/// closes all of them.
///
/// Workers send a heartbeat every `report_interval`, plus or minus a quarter.
pub async fn serve(
    listener: TcpListener,
    requests: RequestSender,
    max_connections: usize,
    report_interval: Duration,
    metrics: Arc<Metrics>,
) {
    let limiter = Arc::new(ConnectionLimiter::new(max_connections, metrics.clone()));
    let routes = routes::routes(requests, limiter.clone(), metrics);
    let service = TowerToHyperService::new(warp::service(routes));
    let idle_timeout = CLIENT_IDLE_TIMEOUT.max(report_interval * 2);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout);
    let mut connections = JoinSet::new();
    loop {
        let stream = accept(&listener).await;
        log_failed_connections(&mut connections);
        // The connection is closed immediately: the load balancer and the workers try another node.
        let Some(permit) = limiter.try_acquire() else {
            continue;
        };
        let connection = http.serve_connection(TokioIo::new(stream), service.clone());
        connections.spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%error, "connection failed");
            }
            drop(permit);
        });
    }
}

/// Removes the connections that have ended from the set, and logs those whose task panicked.
fn log_failed_connections(connections: &mut JoinSet<()>) {
    while let Some(ended) = connections.try_join_next() {
        if let Err(error) = ended {
            tracing::error!(%error, "connection task failed");
        }
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
