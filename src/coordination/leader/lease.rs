//! The leader's lease: its renewal, and what the node may do on the strength of it.

use crate::{
    coordination::{Node, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, Urgency},
    time::Millis,
};

/// The life of the leader's lease: for so long a dead leader is waited for.
pub(super) const LEADER_LEASE_TTL_MS: Millis = 3500;
const LEASE_RENEWAL_INTERVAL_MS: Millis = 700;
const LEASE_RENEWAL_TIMEOUT_MS: Millis = 1200;
/// A renewal that failed is repeated this long after it was sent, or at once if that has passed.
const LEASE_RENEWAL_RETRY_MS: Millis = 200;
/// No start is sent so shortly before the lease may expire.
const START_MARGIN_MS: Millis = 300;

/// How the leader's lease stands.
pub(super) struct LeaderLease {
    /// When the last successful renewal was sent: the lease lives for its whole time from then on.
    confirmed_at: Millis,
    renewal_in_flight: bool,
    renewed_at: Millis,
}

impl LeaderLease {
    /// A lease whose grant was requested at `requested_at`.
    pub(super) fn granted(requested_at: Millis, now: Millis) -> Self {
        LeaderLease {
            confirmed_at: requested_at,
            renewal_in_flight: false,
            renewed_at: now,
        }
    }
}

impl Node {
    /// The time up to which leadership is confirmed: the leader's lease and the view of the registry
    /// were both renewed by requests sent then or later. A renewed lease alone is not enough: while
    /// the registry can't be followed, another node may have told a user that a job is cancelled.
    fn leadership_confirmed_at(&self) -> Option<Millis> {
        let leader = self.leader_state.as_ref()?;
        let registry_confirmed_at = self.read_barrier.confirmed_at?;
        Some(leader.leader_lease.confirmed_at.min(registry_confirmed_at))
    }

    /// Whether tasks may be started: only while the lease has surely not expired.
    pub(in crate::coordination) fn can_start_tasks(&self) -> bool {
        self.leadership_confirmed_at().is_some_and(|confirmed_at| {
            self.now + START_MARGIN_MS < confirmed_at + LEADER_LEASE_TTL_MS
        })
    }

    /// Whether this node leads on this lease. Tags carry the lease, so that answers meant for an
    /// earlier leadership are dropped.
    pub(in crate::coordination) fn holds_leadership(&self, lease: u64) -> bool {
        self.leader_state
            .as_ref()
            .is_some_and(|leader| leader.lease == lease)
    }

    /// Renews the leader's lease when that is due.
    pub(super) fn renew_leader_lease(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let renewal = &mut leader.leader_lease;
        if renewal.renewal_in_flight || renewal.renewed_at + LEASE_RENEWAL_INTERVAL_MS > self.now {
            return;
        }
        renewal.renewal_in_flight = true;
        renewal.renewed_at = self.now;
        let lease = leader.lease;
        self.call_state_service(
            StateTag::RenewLeaderLease { lease },
            StateRequest::Touch { lease },
            Urgency::Vital,
            LEASE_RENEWAL_TIMEOUT_MS,
        );
    }

    /// Handles the answer to a renewal. The lease is confirmed as of when the renewal was sent: the
    /// answer may have been long on its way.
    pub(in crate::coordination) fn on_leader_lease_renewed(
        &mut self,
        lease: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let renewal = &mut leader.leader_lease;
        renewal.renewal_in_flight = false;
        match result {
            Ok(StateReply::Touched) => {
                renewal.confirmed_at = renewal.confirmed_at.max(sent_at);
            }
            Ok(StateReply::NoLease) => {
                tracing::warn!("the leader's lease has ended");
                self.step_down();
            }
            _ => {
                let retry_ms = LEASE_RENEWAL_INTERVAL_MS - LEASE_RENEWAL_RETRY_MS;
                renewal.renewed_at = self.now.saturating_sub(retry_ms);
            }
        }
    }
}
