//! HTTP clients of the state service, the cloud and the workers.
//!
//! The file of each client encodes its requests and decodes its responses; all of them use
//! [`HttpClient`] for their connections.

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
