//! Submissions that are too long for one value, cut into parts.

use crate::{
    protocol::job::Submission,
    storage::{JobRecord, VALUE_HEADROOM_BYTES, json_len, to_value},
};

/// The quotes around a JSON string.
const QUOTES_BYTES: usize = 2;

/// The record of a job that is not over, and the parts of its submission if that is too long for the
/// record. None of them is longer than `value_bytes` as JSON.
pub fn live_job_record(
    submitted_ms: u64,
    submission: &Submission,
    value_bytes: usize,
) -> (JobRecord, Vec<String>) {
    let whole = JobRecord::Live {
        at_ms: submitted_ms,
        spec: Box::new(submission.clone()),
    };
    let available = value_bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    if json_len(&whole) <= available {
        return (whole, Vec::new());
    }
    let parts = split_text(&to_value(submission).to_string(), available);
    let record = JobRecord::Split {
        at_ms: submitted_ms,
        parts: parts.len() as u32,
    };
    (record, parts)
}

/// Cuts a text into parts that have at most `available` bytes as JSON strings.
fn split_text(text: &str, available: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut used = QUOTES_BYTES;
    for character in text.chars() {
        let len = json_len(&character) - QUOTES_BYTES;
        if used + len > available {
            parts.push(String::new());
            used = QUOTES_BYTES;
        }
        used += len;
        let last = parts.last_mut().expect("there is always a last part");
        last.push(character);
    }
    parts
}

/// Joins the parts of a submission.
///
/// # Errors
///
/// The parts are not the JSON of a submission.
pub fn join_submission_parts<'a>(
    parts: impl Iterator<Item = &'a str>,
) -> Result<Submission, serde_json::Error> {
    serde_json::from_str(&parts.collect::<String>())
}
