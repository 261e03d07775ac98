//! HTTP clients of the services that a node calls: the state service, the cloud and the workers.
//!
//! Each client has its own file with the wire form of its requests; [`HttpClient`] is the
//! connection pool they share.

use std::time::Duration;

mod cloud;
mod http;
mod state;
mod worker;

pub use cloud::{CloudClient, cloud_request};
pub use http::{HttpClient, HttpRequest, HttpResponse};
pub use state::{StateClient, state_request};
pub use worker::{WorkerClient, worker_request};

/// How long an unused connection to the state service or the cloud is kept.
const SERVICE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
