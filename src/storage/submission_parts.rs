//! Splits submissions that are too long for one value into parts.

use crate::{
    protocol::job::Submission,
    storage::{JobRecord, VALUE_HEADROOM_BYTES, json_len, to_value},
};

/// Bytes of the two quotes around a JSON string.
const QUOTES_BYTES: usize = 2;

/// The record of a job that has not ended, and the parts of its submission if that is too long for
/// the record. None of them is longer than `value_bytes` as JSON.
pub fn live_job_record(
    submitted_ms: u64,
    submission: &Submission,
    value_bytes: usize,
) -> (JobRecord, Vec<String>) {
    let whole = JobRecord::Live {
        at_ms: submitted_ms,
        spec: Box::new(submission.clone()),
    };
    let available_bytes = value_bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    if json_len(&whole) <= available_bytes {
        return (whole, Vec::new());
    }
    let parts = split_text(&to_value(submission).to_string(), available_bytes);
    let record = JobRecord::Split {
        at_ms: submitted_ms,
        parts: parts.len() as u32,
    };
    (record, parts)
}

/// Splits a text into parts of at most `available_bytes` as JSON strings.
fn split_text(text: &str, available_bytes: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut used_bytes = QUOTES_BYTES;
    for character in text.chars() {
        let len = json_len(&character) - QUOTES_BYTES;
        if used_bytes + len > available_bytes {
            parts.push(String::new());
            used_bytes = QUOTES_BYTES;
        }
        used_bytes += len;
        let last = parts.last_mut().expect("there is always a last part");
        last.push(character);
    }
    parts
}

/// Joins the parts of a submission, which must be in order.
///
/// # Errors
///
/// The joined parts are not the JSON of a submission.
pub fn join_submission_parts<'a>(
    parts: impl Iterator<Item = &'a str>,
) -> Result<Submission, serde_json::Error> {
    serde_json::from_str(&parts.collect::<String>())
}
