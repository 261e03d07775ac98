//! Users -> nodes: submissions and what is answered about a job.

use std::collections::HashSet;

use serde::{Deserialize, Deserializer, Serialize};

use super::{DecodeError, ids::JobId};

/// Most tasks that a job may have.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;
const MAX_NAME_LEN: usize = 200;
const MAX_MACHINE_TYPES_PER_JOB: usize = 64;
/// Far above any machine or wait; keeps sums of amounts finite.
const MAX_RESOURCE_AMOUNT: f64 = 1e12;

/// How a job's tasks belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Lower is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Services that users wait for.
    #[serde(rename = "critical")]
    Production,
    /// Urgent work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Normal,
    /// Work that runs where room is left.
    #[serde(rename = "best_effort")]
    Low,
}

/// What a user asks to be run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by its user; a repeated submission uses the same one.
    pub id: JobId,
    /// Workload class, to which objectives apply.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// How urgent it is.
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
    /// Image that a task needs.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks have to be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot instances will do.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0: a task never saves.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// When the job should be complete, in seconds from its submission.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before a task of this one starts, each once. Left out while empty, as
    /// versions that do not know it wrote it.
    #[serde(
        default,
        deserialize_with = "deserialize_unique_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<JobId>,
}

/// A list that may be null, without repetitions.
fn deserialize_unique_ids<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<JobId>, D::Error> {
    let mut jobs = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    jobs.retain(|job| seen.insert(*job));
    Ok(jobs)
}

impl Submission {
    /// Decodes and checks a request body.
    pub fn from_body(body: &[u8]) -> Result<Self, DecodeError> {
        let submission: Submission = super::decode(body)?;
        submission.validate()?;
        Ok(submission)
    }

    fn validate(&self) -> Result<(), DecodeError> {
        let name = |field, text: &str| {
            if text.is_empty() || text.len() > MAX_NAME_LEN {
                return Err(DecodeError::Invalid {
                    field,
                    reason: "must hold 1 to 200 bytes",
                });
            }
            Ok(())
        };
        let amount = |field, value: f64, zero: bool| {
            if !value.is_finite()
                || !(0.0..=MAX_RESOURCE_AMOUNT).contains(&value)
                || (value == 0.0 && !zero)
            {
                return Err(DecodeError::Invalid {
                    field,
                    reason: "is out of range",
                });
            }
            Ok(())
        };
        name("lane", &self.class)?;
        name("crew", &self.team)?;
        name("kit", &self.image)?;
        if let Some(zone) = &self.zone {
            name("yard", zone)?;
        }
        if let Some(types) = &self.types {
            if types.len() > MAX_MACHINE_TYPES_PER_JOB {
                return Err(DecodeError::Invalid {
                    field: "builds",
                    reason: "names too many machine types",
                });
            }
            for each in types {
                name("builds", each)?;
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Err(DecodeError::Invalid {
                field: "pieces",
                reason: "must be 1 to 100000",
            });
        }
        amount("cpus", self.cpus, false)?;
        amount("gpus", self.gpus, true)?;
        amount("ram_gb", self.ram_gb, false)?;
        amount("size_gb", self.image_gb, true)?;
        amount("guess_s", self.estimate_s, true)?;
        amount("bookmark_s", self.checkpoint_s, true)?;
        amount("stash_s", self.save_s, true)?;
        if let Some(deadline) = self.deadline_s {
            amount("due_s", deadline, false)?;
        }
        Ok(())
    }
}

/// The status of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs.
    #[serde(rename = "pending")]
    Pending,
    /// Tasks run.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done; final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled; final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to every user request about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its status.
    pub status: JobStatus,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}
