//! What the members of one cell tell each other: job progress and lease revocations.

use super::admission::ReservationNotice;
use crate::protocol::ids::JobId;

/// The progress of an unfinished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}

/// What the leader tells the other members once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAnnouncement {
    /// The term that the sender leads in; announcements of lower terms are stale.
    pub term: u64,
    /// The label of the leader.
    pub leader: String,
    /// Unfinished jobs of which tasks are done or run.
    pub jobs: Vec<JobProgress>,
    /// Reservations that nodes have given to users whose submissions they rejected.
    pub reservations: Vec<ReservationNotice>,
}

/// The leader asks that members renew the leases of silent machines no more, so that it can tell when
/// those leases have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRevocation {
    /// The leader's term.
    pub term: u64,
    /// Machines that the leader has not heard of for long.
    pub machines: Vec<SilentMachine>,
    /// The leader's wall clock when it asked, in milliseconds since the epoch.
    pub asked_at_ms: u64,
}

/// A machine that the leader has not heard of for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentMachine {
    /// Its name.
    pub name: String,
    /// The incarnation that the leader last heard of; 0: not known.
    pub incarnation: u64,
    /// The leader only asks for the age of the last renewal; the member may go on renewing.
    pub is_inquiry: bool,
}

/// A member's answer to a [`LeaseRevocation`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalReply {
    /// The last renewals of the machines asked about.
    pub renewals: Vec<LeaseRenewalAge>,
    /// How many workers sent it a heartbeat lately.
    pub workers_heard: usize,
}

/// How long ago a member last renewed a machine's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRenewalAge {
    /// The machine's name.
    pub machine: String,
    /// Milliseconds since the last renewal; a lower bound of the real age.
    pub age_ms: u64,
    /// The answer to a mere inquiry, which revokes nothing.
    pub is_inquiry: bool,
}
