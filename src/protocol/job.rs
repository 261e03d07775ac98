//! Messages between users and nodes: submissions, and the status of a job.

use std::collections::HashSet;

use serde::{Deserialize, Deserializer, Serialize};

use super::{DecodeError, ids::JobId};

/// The most tasks that a job may have.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;
const MAX_NAME_LEN: usize = 200;
const MAX_MACHINE_TYPES_PER_JOB: usize = 64;
/// Upper bound of every amount in a submission: far above any machine or duration, and small enough
/// that sums of amounts stay finite.
const MAX_RESOURCE_AMOUNT: f64 = 1e12;

/// How a job's tasks depend on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// A gang: either all tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// A job's priority; the lower value is the more urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Production services, on whose responses users wait.
    #[serde(rename = "critical")]
    Production,
    /// Urgent work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Normal,
    /// Work that uses only resources left over by others.
    #[serde(rename = "best_effort")]
    Low,
}

/// A user's request to run a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by its user; a retried submission uses the same one.
    pub id: JobId,
    /// The workload class; objectives apply to classes.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks depend on each other.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task in GB.
    pub ram_gb: f64,
    /// The image that a task needs.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The allowed machine types; `None` allows any.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether to spread the tasks: at most half of them, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0 if a task never saves one.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// The deadline for the job's completion, in seconds from its submission.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before a task of this one starts, without duplicates. An empty list is
    /// not written, so that the result equals that of versions without dependencies.
    #[serde(
        default,
        deserialize_with = "deserialize_unique_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list that may be null, and removes duplicates.
fn deserialize_unique_ids<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<JobId>, D::Error> {
    let mut jobs = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    jobs.retain(|job| seen.insert(*job));
    Ok(jobs)
}

impl Submission {
    /// Decodes and validates a request body.
    pub fn from_body(body: &[u8]) -> Result<Self, DecodeError> {
        let submission: Submission = super::decode(body)?;
        submission.validate()?;
        Ok(submission)
    }

    fn validate(&self) -> Result<(), DecodeError> {
        let check_name = |field, text: &str| {
            if text.is_empty() || text.len() > MAX_NAME_LEN {
                return Err(DecodeError::Invalid {
                    field,
                    reason: "must hold 1 to 200 bytes",
                });
            }
            Ok(())
        };
        let check_amount = |field, value: f64, zero_allowed: bool| {
            if !value.is_finite()
                || !(0.0..=MAX_RESOURCE_AMOUNT).contains(&value)
                || (value == 0.0 && !zero_allowed)
            {
                return Err(DecodeError::Invalid {
                    field,
                    reason: "is out of range",
                });
            }
            Ok(())
        };
        check_name("lane", &self.class)?;
        check_name("crew", &self.team)?;
        check_name("kit", &self.image)?;
        if let Some(zone) = &self.zone {
            check_name("yard", zone)?;
        }
        if let Some(types) = &self.types {
            if types.len() > MAX_MACHINE_TYPES_PER_JOB {
                return Err(DecodeError::Invalid {
                    field: "builds",
                    reason: "names too many machine types",
                });
            }
            for type_name in types {
                check_name("builds", type_name)?;
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Err(DecodeError::Invalid {
                field: "pieces",
                reason: "must be 1 to 100000",
            });
        }
        check_amount("cpus", self.cpus, false)?;
        check_amount("gpus", self.gpus, true)?;
        check_amount("ram_gb", self.ram_gb, false)?;
        check_amount("size_gb", self.image_gb, true)?;
        check_amount("guess_s", self.estimate_s, true)?;
        check_amount("bookmark_s", self.checkpoint_s, true)?;
        check_amount("stash_s", self.save_s, true)?;
        if let Some(deadline) = self.deadline_s {
            check_amount("due_s", deadline, false)?;
        }
        Ok(())
    }
}

/// The status of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task is running.
    #[serde(rename = "pending")]
    Pending,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done; final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled; final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response to a user's request about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its status.
    pub status: JobStatus,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}
