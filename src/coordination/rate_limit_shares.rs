//! Parts of the services' limits: the leader writes what it does and asks the cloud, followers write for users only.

#![expect(missing_docs, reason = "its items are still to be documented")]

/// What is kept free of the services' limits, for clocks that differ.
const USABLE_FRACTION: f64 = 0.92;
/// The leader's parts. Followers ask the cloud for nothing but its machine types when they start.
const LEADER_REQUEST_SHARE: f64 = 0.5;
const LEADER_WRITE_SHARE: f64 = 0.6;
const LEADER_CLOUD_SHARE: f64 = 0.8;

/// The parts of one node, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitShares {
    pub state_requests: f64,
    pub state_writes: f64,
    pub cloud: f64,
}

/// A node's parts among so many nodes: the followers have equal parts of what the leader leaves.
pub fn shares_for(nodes: f64, leads: bool) -> RateLimitShares {
    let others = (nodes - 1.0).max(1.0);
    let part = |leaders: f64| {
        let part = if leads || nodes <= 1.0 {
            leaders
        } else {
            (1.0 - leaders) / others
        };
        USABLE_FRACTION * part
    };
    RateLimitShares {
        state_requests: part(LEADER_REQUEST_SHARE),
        state_writes: part(LEADER_WRITE_SHARE),
        cloud: part(LEADER_CLOUD_SHARE),
    }
}
