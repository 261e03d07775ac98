//! Users -> nodes: submissions and what is answered about a job.

use std::collections::HashSet;

use serde::{Deserialize, Deserializer, Serialize};

use super::{DecodeError, ids::JobId};

pub const MAX_TASKS_PER_JOB: u32 = 100_000;
const MAX_NAME_LEN: usize = 200;
const MAX_MACHINE_TYPES_PER_JOB: usize = 64;
/// Far above any machine or wait; keeps sums of amounts finite.
const MAX_RESOURCE_AMOUNT: f64 = 1e12;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Lower is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "critical")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// What a user asks to be run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub id: JobId,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stash_s")]
    pub save_s: f64,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to every user request about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    pub id: JobId,
    pub status: JobStatus,
    pub done: u32,
    pub running: u32,
}
