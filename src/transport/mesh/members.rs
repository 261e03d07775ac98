//! The clients of the other members of this deployment.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use tonic::transport::{Channel, Endpoint};

use crate::coordination::{
    ApiRequest, ApiResponse, LeaderAnnouncement, LeaseRevocation, MemberStatus, RenewalReply,
};

use super::{
    messages,
    proto::{self, mesh_client::MeshClient},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to the other members, opened when first used.
pub struct MemberClients {
    channels: HashMap<SocketAddrV4, MeshClient<Channel>>,
}

impl MemberClients {
    /// Clients of the members at these addresses.
    pub fn new(addrs: impl Iterator<Item = SocketAddrV4>) -> Self {
        let channels = addrs
            .filter_map(|addr| {
                let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .timeout(CALL_TIMEOUT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                Some((addr, MeshClient::new(channel)))
            })
            .collect();
        MemberClients { channels }
    }

    /// Sends the leader's announcement to a member and returns the member's status. `None`: no
    /// response; the member may or may not have received the announcement, and either is safe.
    pub async fn announce(
        &self,
        addr: SocketAddrV4,
        announcement: &LeaderAnnouncement,
    ) -> Option<MemberStatus> {
        let mut client = self.channels.get(&addr).cloned()?;
        match client.tell(proto::Progress::from(announcement)).await {
            Ok(response) => Some(response.into_inner().into()),
            Err(status) => {
                tracing::trace!(%addr, code = ?status.code(), "announcement failed");
                None
            }
        }
    }

    /// Relays a user's request to a member and returns its response. `None`: no response; the
    /// request may have been executed.
    pub async fn relay_request(
        &self,
        addr: SocketAddrV4,
        request: ApiRequest,
    ) -> Option<ApiResponse> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = messages::encode_relayed_request(&request)?;
        let reply = client.relay(message).await.ok()?.into_inner();
        Some(ApiResponse {
            status: reply.status.try_into().ok()?,
            body: reply.body,
            retry_after_s: (reply.retry_after_s > 0).then_some(reply.retry_after_s),
        })
    }

    /// Requests a member to stop renewing the leases of unresponsive workers. `None`: no response.
    pub async fn request_revocation(
        &self,
        addr: SocketAddrV4,
        revocation: LeaseRevocation,
    ) -> Option<RenewalReply> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = proto::Revocation::from(revocation);
        let reply = client.revoke(message).await.ok()?.into_inner();
        Some(reply.into())
    }
}
