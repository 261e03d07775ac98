//! The leader's lease: its renewal, and the actions that the node may take while it is confirmed.

use crate::{
    coordination::{Node, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, StateRequestPriority},
    time::Millis,
};

/// The time to live of the leader's lease, and so the time until another node can replace a dead leader.
pub(super) const LEADER_LEASE_TTL_MS: Millis = 3500;
const LEASE_RENEWAL_INTERVAL_MS: Millis = 700;
const LEASE_RENEWAL_TIMEOUT_MS: Millis = 1200;
/// How long after a failed renewal the next one is sent.
const LEASE_RENEWAL_RETRY_MS: Millis = 200;
/// No start commands are sent in this last part of the lease.
const START_MARGIN_MS: Millis = 300;

/// The state of the leader's lease.
pub(super) struct LeaderLease {
    /// When the last successful renewal was sent: the lease lasts for at least its time to live from
    /// then on.
    confirmed_at: Millis,
    renewal_in_flight: bool,
    /// When the last renewal was sent. Set to an earlier time after a failure, for a sooner retry.
    renewal_sent_at: Millis,
}

impl LeaderLease {
    /// A lease whose grant was requested at `requested_at`.
    pub(super) fn granted(requested_at: Millis, now: Millis) -> Self {
        LeaderLease {
            confirmed_at: requested_at,
            renewal_in_flight: false,
            renewal_sent_at: now,
        }
    }
}

impl Node {
    /// The time up to which leadership is confirmed: both the leader's lease and the registry were
    /// confirmed by requests sent at that time or later. A renewed lease alone is not enough: while this
    /// node gets no changes of the registry, another node may have acknowledged the cancellation of a
    /// job.
    fn leadership_confirmed_at(&self) -> Option<Millis> {
        let leader = self.leader_state.as_ref()?;
        let registry_confirmed_at = self.read_barrier.confirmed_at?;
        Some(leader.leader_lease.confirmed_at.min(registry_confirmed_at))
    }

    /// The latest time up to now at which this node certainly led, with a current registry.
    pub(super) fn led_at(&self) -> Option<Millis> {
        let confirmed_at = self.leadership_confirmed_at()?;
        Some(self.now.min(confirmed_at + LEADER_LEASE_TTL_MS))
    }

    /// Whether tasks may be started: only while the lease is certain not to have expired.
    pub(in crate::coordination) fn can_start_tasks(&self) -> bool {
        self.leadership_confirmed_at().is_some_and(|confirmed_at| {
            self.now + START_MARGIN_MS < confirmed_at + LEADER_LEASE_TTL_MS
        })
    }

    /// Whether this node is the leader and holds this lease. Tags carry the lease, so that answers to
    /// requests of an earlier leadership are dropped.
    pub(in crate::coordination) fn holds_leadership(&self, lease: u64) -> bool {
        self.leader_state
            .as_ref()
            .is_some_and(|leader| leader.lease == lease)
    }

    /// Renews the leader's lease when a renewal is due.
    pub(super) fn renew_leader_lease(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let leader_lease = &mut leader.leader_lease;
        if leader_lease.renewal_in_flight
            || leader_lease.renewal_sent_at + LEASE_RENEWAL_INTERVAL_MS > self.now
        {
            return;
        }
        leader_lease.renewal_in_flight = true;
        leader_lease.renewal_sent_at = self.now;
        let lease = leader.lease;
        self.call_state_service(
            StateTag::RenewLeaderLease { lease },
            StateRequest::RenewLease { lease },
            StateRequestPriority::Vital,
            LEASE_RENEWAL_TIMEOUT_MS,
        );
    }

    /// Handles the answer to a renewal. The lease is confirmed as of the time when the renewal was sent,
    /// because the answer may have taken long to arrive.
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
        let leader_lease = &mut leader.leader_lease;
        leader_lease.renewal_in_flight = false;
        match result {
            Ok(StateReply::LeaseUpdated) => {
                leader_lease.confirmed_at = leader_lease.confirmed_at.max(sent_at);
            }
            Ok(StateReply::LeaseNotFound) => {
                tracing::warn!("lost leadership: the leader's lease has expired");
                self.step_down();
            }
            _ => {
                let retry_ms = LEASE_RENEWAL_INTERVAL_MS - LEASE_RENEWAL_RETRY_MS;
                leader_lease.renewal_sent_at = self.now.saturating_sub(retry_ms);
            }
        }
    }
}
