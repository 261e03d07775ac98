//! Job ids and task ids, and their text form.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A job's id: `j-` and at least six digits. Each number has exactly one valid text form, so the
/// number identifies the job.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A task of a job: `j-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

/// The text is not a job or task id in its canonical form.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not a job or task id")]
pub struct ParseIdError;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:06}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Parses a number of at least `min_digits` digits, with leading zeros only if it is exactly that
/// long.
fn parse_digits<T: FromStr>(text: &str, min_digits: usize) -> Result<T, ParseIdError> {
    let only_digits = text.len() >= min_digits && text.bytes().all(|b| b.is_ascii_digit());
    let canonical = text.len() == min_digits || !text.starts_with('0');
    if !only_digits || !canonical {
        return Err(ParseIdError);
    }
    text.parse().map_err(|_| ParseIdError)
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_digits(text.strip_prefix("j-").ok_or(ParseIdError)?, 6).map(JobId)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = text.split_once('/').ok_or(ParseIdError)?;
        Ok(TaskId {
            job: job.parse()?,
            index: parse_digits(index, 1)?,
        })
    }
}

macro_rules! serde_as_text {
    ($($name:ty),*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    )*};
}

serde_as_text!(JobId, TaskId);
