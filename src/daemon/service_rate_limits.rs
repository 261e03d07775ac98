//! This node's share of the services' rate limits.

use crate::{
    config::Config,
    coordination::rate_limit_shares::{self, RateLimitShares},
    protocol::state::StateRequestPriority,
    transport::rate_limiter::TokenBucket,
};

/// A token bucket for each limit. The leader gets a larger share of each limit than a follower.
pub(super) struct ServiceRateLimits {
    /// Number of nodes in the deployment, including this one.
    node_count: f64,
    cluster: ClusterRateLimits,
    state_requests: TokenBucket,
    state_writes: TokenBucket,
    cloud_requests: TokenBucket,
}

/// The limits for all nodes together, in operations per second.
struct ClusterRateLimits {
    state_rps: f64,
    state_write_rps: f64,
    cloud_rps: f64,
}

impl ServiceRateLimits {
    /// The buckets with a follower's rates.
    pub(super) fn new(config: &Config) -> Self {
        let state = config.settings.state.strictest();
        let cluster = ClusterRateLimits {
            state_rps: state.rps,
            state_write_rps: state.write_rps,
            cloud_rps: config.settings.cloud.rps,
        };
        let node_count = config.members.len() as f64 + 1.0;
        let shares = rate_limit_shares::shares_for(node_count, false);
        ServiceRateLimits {
            node_count,
            state_requests: TokenBucket::new(cluster.state_rps * shares.state_requests),
            state_writes: TokenBucket::new(cluster.state_write_rps * shares.state_writes),
            cloud_requests: TokenBucket::new(cluster.cloud_rps * shares.cloud),
            cluster,
        }
    }

    /// Sets the rates to those of a leader or a follower.
    pub(super) fn set_leadership(&self, is_leader: bool) {
        let RateLimitShares {
            state_requests,
            state_writes,
            cloud,
        } = rate_limit_shares::shares_for(self.node_count, is_leader);
        self.state_requests
            .set_rate(self.cluster.state_rps * state_requests);
        self.state_writes
            .set_rate(self.cluster.state_write_rps * state_writes);
        self.cloud_requests.set_rate(self.cluster.cloud_rps * cloud);
    }

    /// Waits until a request with `writes` writes may be sent to the state service.
    pub(super) async fn acquire_state_request(
        &self,
        writes: usize,
        priority: StateRequestPriority,
    ) {
        if writes > 0 {
            self.state_writes.acquire(writes as f64, priority).await;
        }
        self.state_requests.acquire(1.0, priority).await;
    }

    /// Waits until a request may be sent to the cloud.
    pub(super) async fn acquire_cloud_request(&self) {
        self.cloud_requests
            .acquire(1.0, StateRequestPriority::Vital)
            .await;
    }
}
