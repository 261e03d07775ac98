//! Messages between the members of a cell: job progress and lease revocations.

use super::admission::ReservationNotice;
use crate::{protocol::ids::JobId, storage::ProgressEntry};

/// The progress of an unfinished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run, by their workers' reports.
    pub running: u32,
    /// Further tasks may be running, of which no worker has reported to this leader.
    pub may_run_unreported: bool,
}

impl JobProgress {
    /// The progress of a job with no task done, and none that runs.
    pub fn none(job: JobId) -> Self {
        JobProgress {
            job,
            done: 0,
            running: 0,
            may_run_unreported: false,
        }
    }

    /// Whether a task of the job runs; `None` if that is not known.
    pub fn is_running(&self) -> Option<bool> {
        (self.running > 0 || !self.may_run_unreported).then_some(self.running > 0)
    }
}

impl From<ProgressEntry> for JobProgress {
    fn from(entry: ProgressEntry) -> Self {
        JobProgress {
            job: entry.job,
            done: entry.done,
            running: entry.running.unwrap_or(0),
            may_run_unreported: entry.running.is_none(),
        }
    }
}

/// The leader's announcement, sent to the other members once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAnnouncement {
    /// The term that the sender leads in; announcements of lower terms are stale.
    pub term: u64,
    /// The label of the leader.
    pub leader: String,
    /// When it was sent, in milliseconds of the leader's time of day. Earlier versions don't send it.
    pub sent_at_ms: Option<u64>,
    /// The time at which the sender certainly led and saw the progress in `jobs`, in milliseconds of its
    /// time of day. Earlier versions don't send it.
    pub progress_at_ms: Option<u64>,
    /// Unfinished jobs with done tasks, or with tasks that run or may run.
    pub jobs: Vec<JobProgress>,
    /// Reservations (times to retry) that nodes have given to users whose submissions they rejected.
    pub reservations: Vec<ReservationNotice>,
}

impl LeaderAnnouncement {
    /// How long ago it was sent, by the time of day at this node; 0 if that is not known.
    pub fn age_ms(&self, wall_ms: u64) -> u64 {
        wall_ms.saturating_sub(self.sent_at_ms.unwrap_or(wall_ms))
    }
}

/// The leader's request that members stop renewing the leases of unresponsive machines, so that it can
/// determine when those leases have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRevocation {
    /// The leader's term.
    pub term: u64,
    /// Machines from which the leader has received no heartbeat for a long time.
    pub machines: Vec<UnresponsiveMachine>,
    /// The leader's wall clock when it sent the request, in milliseconds since the epoch.
    pub requested_at_ms: u64,
}

/// A machine from which the leader has received no heartbeat for a long time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresponsiveMachine {
    /// Its name.
    pub name: String,
    /// The worker's incarnation in the last heartbeat that the leader received; 0 if unknown.
    pub incarnation: u64,
    /// Only the age of the last renewal is requested; the member may continue to renew the lease.
    pub is_inquiry: bool,
}

/// A member's answer to a [`LeaseRevocation`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalReply {
    /// The last renewals of the machines in the request.
    pub renewals: Vec<LeaseRenewalAge>,
    /// How many workers have recently sent the member a heartbeat.
    pub reporting_workers: usize,
}

/// How long ago a member last renewed a machine's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRenewalAge {
    /// The machine's name.
    pub machine: String,
    /// Milliseconds since the last renewal; a lower bound of the real age.
    pub age_ms: u64,
    /// The answer to an inquiry, which revokes nothing.
    pub is_inquiry: bool,
}
