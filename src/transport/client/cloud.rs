//! The client of the cloud.

use std::{net::SocketAddrV4, time::Duration};

use crate::protocol::{
    self,
    cloud::{CloudError, CloudReply, CloudRequest, MachineNames},
};

use super::{
    SERVICE_IDLE_TIMEOUT,
    http::{HttpClient, HttpRequest, HttpResponse, percent_encode},
};

const MAX_IDLE_CONNECTIONS: usize = 2;
/// Machines requested per page of the machine list.
const PAGE_LIMIT: u32 = 500;
/// Text in the body of a 503 response if the cloud has no machine of the type available.
const NO_CAPACITY: &[u8] = b"no capacity";

/// Encodes a request to the cloud as an HTTP request.
pub fn cloud_request(request: &CloudRequest) -> HttpRequest {
    match request {
        CloudRequest::Types => HttpRequest::get("/machine_types"),
        CloudRequest::ProvisionMachines(request) => {
            HttpRequest::post("/machines", protocol::encode(request))
        }
        CloudRequest::Delete(names) => {
            let names = MachineNames {
                machines: names.clone(),
            };
            HttpRequest::post("/machines/delete", protocol::encode(&names))
        }
        CloudRequest::List { after } => {
            let after = after
                .as_deref()
                .map(|name| format!("after={}&", percent_encode(name)))
                .unwrap_or_default();
            HttpRequest::get(format!("/machines?{after}limit={PAGE_LIMIT}"))
        }
    }
}

/// The client of the cloud.
pub struct CloudClient {
    http: HttpClient,
    addr: String,
}

impl CloudClient {
    /// A client of the cloud at `addr`, which connects when first used.
    pub fn new(addr: SocketAddrV4) -> Self {
        CloudClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS, SERVICE_IDLE_TIMEOUT, true),
            addr: addr.to_string(),
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    /// [`CloudError::Refused`]: the request was not executed. [`CloudError::NoAnswer`]: no usable
    /// response within `timeout`; the request may have been executed, or may still be.
    pub async fn call(
        &self,
        request: &CloudRequest,
        timeout: Duration,
    ) -> Result<CloudReply, CloudError> {
        let response = self
            .http
            .call(&self.addr, cloud_request(request), true, timeout)
            .await
            .ok_or(CloudError::NoAnswer)?;
        decode_reply(request, &response)
    }
}

fn decode_reply(request: &CloudRequest, response: &HttpResponse) -> Result<CloudReply, CloudError> {
    let reply = match (request, response.status) {
        (CloudRequest::Types, 200) => response.decode().map(CloudReply::Types),
        (CloudRequest::ProvisionMachines(_), 200) => response
            .decode::<MachineNames>()
            .map(|names| CloudReply::Provisioned(names.machines)),
        // A 503 with any other body is a failure of the cloud itself.
        (CloudRequest::ProvisionMachines(_), 503) if says_no_capacity(&response.body) => {
            Some(CloudReply::NoCapacity)
        }
        (CloudRequest::Delete(_), 200..=204) => Some(CloudReply::Deleted),
        (CloudRequest::List { .. }, 200) => response.decode().map(CloudReply::List),
        (_, status) => return Err(CloudError::Refused(status)),
    };
    reply.ok_or(CloudError::NoAnswer)
}

fn says_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len())
        .any(|part| part == NO_CAPACITY)
}
