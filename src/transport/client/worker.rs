//! The client of the workers.

use std::{cell::RefCell, sync::Arc, time::Duration};

use tokio::sync::Semaphore;

use crate::{
    metrics::{Metrics, ShedConnection},
    protocol::{
        self,
        worker::{DirectOrders, WorkerReply},
    },
    transport::recent_calls::RecentCallCounter,
};

use super::http::{HttpClient, HttpRequest};

const MAX_IDLE_CONNECTIONS_PER_WORKER: usize = 1;
/// Orders to a worker come in bursts, so a connection is kept only for a short time. With hundreds of
/// workers, the sockets and memory for an idle connection to each, besides the one that carries its
/// heartbeats, are better kept for other clients.
const IDLE_TIMEOUT: Duration = Duration::from_secs(RecentCallCounter::WINDOW_S as u64);

/// Encodes orders to a worker as an HTTP request; without orders, a request for its report.
pub fn worker_request(orders: Option<&DirectOrders>) -> HttpRequest {
    match orders {
        Some(orders) => HttpRequest::post("/commands", protocol::encode(orders)),
        None => HttpRequest::get("/status"),
    }
}

/// The client of all workers, with a limit on the number of calls in progress.
pub struct WorkerClient {
    http: HttpClient,
    call_permits: Semaphore,
    /// The number of idle connections that may be kept for further orders.
    max_idle_connections: usize,
    recent_calls: RefCell<RecentCallCounter>,
    metrics: Arc<Metrics>,
}

impl WorkerClient {
    /// A client with at most `max_calls` calls in progress that keeps about `max_idle_connections`
    /// idle connections for further calls.
    pub fn new(max_calls: usize, max_idle_connections: usize, metrics: Arc<Metrics>) -> Self {
        WorkerClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS_PER_WORKER, IDLE_TIMEOUT, false),
            call_permits: Semaphore::new(max_calls),
            max_idle_connections,
            recent_calls: RefCell::new(RecentCallCounter::new()),
            metrics,
        }
    }

    /// Sends orders to the worker at `addr`, or only requests its report.
    ///
    /// Returns `None` if there is no usable response within `timeout`, which does not include the
    /// wait for a permit; the orders may have been executed.
    pub async fn call(
        &self,
        addr: &str,
        orders: Option<&DirectOrders>,
        timeout: Duration,
    ) -> Option<WorkerReply> {
        let request = worker_request(orders);
        // The semaphore is never closed.
        let permit = self.call_permits.acquire().await.ok()?;
        let keep_alive = self.recent_calls.borrow_mut().record_call() <= self.max_idle_connections;
        if !keep_alive {
            self.metrics.record_shed(ShedConnection::IdleToWorker);
        }
        let response = self.http.call(addr, request, keep_alive, timeout).await;
        drop(permit);
        let response = response?;
        match response.status {
            200 => response.decode().map(WorkerReply::Executed),
            409 => response.decode().map(WorkerReply::Rejected),
            _ => None,
        }
    }
}
