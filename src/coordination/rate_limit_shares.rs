//! Parts of the services' limits: the leader writes what it does and asks the cloud, followers write for users only.

/// What is kept free of the services' limits, for clocks that differ.
const HEADROOM: f64 = 0.92;
/// The leader's parts. Followers ask the cloud for nothing but its machine types when they start.
const STATE: f64 = 0.5;
const WRITES: f64 = 0.6;
const CLOUD: f64 = 0.8;

/// The parts of one node, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    pub requests: f64,
    pub writes: f64,
    pub cloud: f64,
}

/// A node's parts among so many nodes: the followers have equal parts of what the leader leaves.
pub fn of(nodes: f64, leads: bool) -> Shares {
    let others = (nodes - 1.0).max(1.0);
    let part = |leaders: f64| {
        let part = if leads || nodes <= 1.0 {
            leaders
        } else {
            (1.0 - leaders) / others
        };
        HEADROOM * part
    };
    Shares {
        requests: part(STATE),
        writes: part(WRITES),
        cloud: part(CLOUD),
    }
}
