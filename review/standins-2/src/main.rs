//! `review-2 CASE RECORD`: plays a case of the second review against the project's own controllers, and writes what was
//! sent, answered and run to the file RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! `TROUBLE=0` plays the same without the disruption.

mod balancer;
mod cases;
mod fleet;
mod http;
mod link;
mod nodes;
mod record;
mod site;
mod store;
mod user;
mod value;

use std::{path::PathBuf, process::ExitCode};

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// It couldn't run.
    Failed,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = record::Record::create(path) else {
        eprintln!("review-2: can't write {path}");
        return ExitCode::from(2);
    };
    let root = PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into()));
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let verdict = cases::run(case, &root, record.clone(), !trouble);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Failed => (2, "the case couldn't run"),
    };
    record.say(text);
    ExitCode::from(code)
}
