//! The share of the outside services' rate limits that each node may use. The leader gets the larger
//! share: it writes its log and makes the requests to the cloud, while followers write only for users.

/// The fraction of each limit that the nodes use together. The rest allows for clocks that differ.
const USABLE_FRACTION: f64 = 0.92;
/// The leader's shares. Followers only request the machine types from the cloud, when they start.
const LEADER_REQUEST_SHARE: f64 = 0.5;
const LEADER_WRITE_SHARE: f64 = 0.6;
const LEADER_CLOUD_SHARE: f64 = 0.8;

/// One node's share of each rate limit, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitShares {
    /// Requests to the state service, writes included.
    pub state_requests: f64,
    /// Writes to the state service.
    pub state_writes: f64,
    /// Requests to the cloud.
    pub cloud: f64,
}

/// The shares of the leader, or of a follower, among `node_count` nodes. Followers share the rest
/// equally.
pub fn shares_for(node_count: f64, is_leader: bool) -> RateLimitShares {
    let followers = (node_count - 1.0).max(1.0);
    let share = |leader_share: f64| {
        let share = if is_leader || node_count <= 1.0 {
            leader_share
        } else {
            (1.0 - leader_share) / followers
        };
        USABLE_FRACTION * share
    };
    RateLimitShares {
        state_requests: share(LEADER_REQUEST_SHARE),
        state_writes: share(LEADER_WRITE_SHARE),
        cloud: share(LEADER_CLOUD_SHARE),
    }
}
