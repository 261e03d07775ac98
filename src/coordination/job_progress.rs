//! The progress of unfinished jobs as the leader last reported it to this node.
//!
//! Two channels carry it: the leader's announcements over the members' connections, and a record in the
//! state service that the leader writes while a member does not answer its announcements. Progress is
//! evidence of a job's status only for a short time: by the protocol, users may get a status that is at
//! most three seconds old.

use std::collections::HashMap;

use super::{JobProgress, LeaderAnnouncement, Node};
use crate::{protocol::ids::JobId, storage::ProgressRecord, time::Millis};

/// By the protocol, how much older than its answer the status of a job may be.
const MAX_STATUS_LAG_MS: Millis = 3000;
/// How long the start of a task may take to reach the leader: a worker leaves half a second between two
/// reports.
const REPORT_DELAY_MS: Millis = 600;
/// How old progress may be to tell the status of a job.
const MAX_PROGRESS_AGE_MS: Millis = MAX_STATUS_LAG_MS - REPORT_DELAY_MS;

/// The time of day at this node, and how exact it is.
#[derive(Clone, Copy, Debug)]
pub struct TimeOfDay {
    /// Milliseconds since the epoch.
    pub wall_ms: u64,
    /// The most that the clocks of two nodes may differ, in milliseconds.
    pub max_skew_ms: u64,
}

impl TimeOfDay {
    /// Whether an event at `at_ms` on the clock of any node was certainly less than `limit_ms` ago.
    fn is_within(self, at_ms: u64, limit_ms: Millis) -> bool {
        self.wall_ms + self.max_skew_ms < at_ms + limit_ms
    }
}

/// The progress of unfinished jobs at one time.
#[derive(Clone, Debug)]
struct ProgressSnapshot {
    /// The leader's term.
    term: u64,
    /// When the leader sent it, in milliseconds of the leader's time of day.
    sent_at_ms: u64,
    /// The time at which the leader certainly led and saw this progress, in milliseconds of its time of
    /// day. Earlier than `sent_at_ms` if its lease was not confirmed then.
    valid_at_ms: u64,
    /// The last job that it covers; `None`: all jobs.
    last_covered: Option<JobId>,
    /// Jobs with done tasks, or with tasks that run or may run. The others have none.
    jobs: HashMap<JobId, JobProgress>,
}

impl ProgressSnapshot {
    fn is_newer_than(&self, other: &ProgressSnapshot) -> bool {
        (self.term, self.sent_at_ms) > (other.term, other.sent_at_ms)
    }

    fn covers(&self, job: JobId) -> bool {
        self.last_covered.is_none_or(|last| job <= last)
    }
}

/// The latest progress that this node got by each channel.
#[derive(Default)]
pub struct ReceivedProgress {
    announced: Option<ProgressSnapshot>,
    stored: Option<ProgressSnapshot>,
}

impl ReceivedProgress {
    /// Keeps the progress in an announcement. Returns false if the announcement is a duplicate, or was
    /// sent before one that arrived earlier.
    pub fn on_announcement(
        &mut self,
        announcement: &LeaderAnnouncement,
        time_of_day: TimeOfDay,
    ) -> bool {
        // Leaders of earlier versions don't send the times.
        let sent_at_ms = announcement.sent_at_ms.unwrap_or(time_of_day.wall_ms);
        let snapshot = ProgressSnapshot {
            term: announcement.term,
            sent_at_ms,
            valid_at_ms: announcement.progress_at_ms.unwrap_or(sent_at_ms),
            last_covered: None,
            jobs: index_by_job(announcement.jobs.iter().copied()),
        };
        let is_dated = announcement.sent_at_ms.is_some();
        replace_if_newer(&mut self.announced, snapshot, is_dated)
    }

    /// Keeps the progress in the state service's record, unless it is older than what this node has: a
    /// write that got no answer may be applied after later ones.
    pub fn on_record(&mut self, record: &ProgressRecord) {
        let snapshot = ProgressSnapshot {
            term: record.term,
            sent_at_ms: record.at_ms,
            valid_at_ms: record.at_ms,
            last_covered: record.last_covered,
            jobs: index_by_job(record.entries().map(JobProgress::from)),
        };
        replace_if_newer(&mut self.stored, snapshot, true);
    }

    /// The progress of a job; `None` if what this node has got is too old to tell, or does not cover the job.
    pub fn get(&self, job: JobId, time_of_day: TimeOfDay) -> Option<JobProgress> {
        let snapshots = [&self.announced, &self.stored].into_iter().flatten();
        let latest = snapshots
            .filter(|snapshot| snapshot.covers(job))
            .max_by_key(|snapshot| (snapshot.term, snapshot.valid_at_ms))?;
        if !time_of_day.is_within(latest.valid_at_ms, MAX_PROGRESS_AGE_MS) {
            return None;
        }
        let progress = latest.jobs.get(&job).copied();
        Some(progress.unwrap_or(JobProgress::none(job)))
    }

    /// How old the latest progress is, in milliseconds of the time of day; `None` if there is none.
    pub fn age_ms(&self, wall_ms: u64) -> Option<u64> {
        let snapshots = [&self.announced, &self.stored].into_iter().flatten();
        let latest = snapshots.map(|snapshot| snapshot.valid_at_ms).max()?;
        Some(wall_ms.saturating_sub(latest))
    }
}

/// Whether no task of a job can have run for longer than the lag that users may see, as the job was
/// accepted only at `accepted_at_ms`.
pub fn is_newly_accepted(accepted_at_ms: u64, time_of_day: TimeOfDay) -> bool {
    time_of_day.is_within(accepted_at_ms, MAX_STATUS_LAG_MS)
}

impl Node {
    /// Handles an announcement of the leader. One from an earlier term, or sent before one that has arrived
    /// already, is ignored.
    pub(super) fn on_leader_announcement(&mut self, announcement: LeaderAnnouncement) {
        let is_news = announcement.term >= self.registry.term
            && self
                .received_progress
                .on_announcement(&announcement, self.time_of_day());
        if !is_news {
            return;
        }
        let age_ms = announcement.age_ms(self.wall_ms);
        self.admission
            .add_remote_reservations(&announcement.reservations, age_ms, self.now);
        let sent_at = self.now.saturating_sub(age_ms);
        self.on_leader_announced(announcement.term, announcement.leader, sent_at);
    }
}

fn index_by_job(jobs: impl Iterator<Item = JobProgress>) -> HashMap<JobId, JobProgress> {
    jobs.map(|progress| (progress.job, progress)).collect()
}

/// Replaces a snapshot by a newer one. One that is not dated is taken for newer.
fn replace_if_newer(
    current: &mut Option<ProgressSnapshot>,
    snapshot: ProgressSnapshot,
    is_dated: bool,
) -> bool {
    let is_newer = !is_dated
        || current
            .as_ref()
            .is_none_or(|current| snapshot.is_newer_than(current));
    if is_newer {
        *current = Some(snapshot);
    }
    is_newer
}

#[cfg(test)]
mod tests;
