//! Mutation testing of the safety rules of `docs/design.md`: each mutant is a change to the source that breaks one
//! rule. Applies each mutant to a copy of the repository, runs all tests there, and reports which of them fail. If
//! none fails, the rule is not tested.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::{Command, ExitCode, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use clap::Parser;
use serde::Deserialize;

#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The file that lists the mutants.
    #[arg(long, default_value = "crates/mutants/mutants.toml")]
    list: PathBuf,
    /// The directory for the copies of the repository and their build output: gigabytes for each copy.
    #[arg(long, default_value = "target/mutants")]
    scratch: PathBuf,
    /// The number of mutants that are tested at a time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// How long the build and the tests of one mutant may take, in seconds.
    #[arg(long, default_value_t = 900)]
    timeout_s: u64,
    /// Only check that each mutant still applies, without running tests.
    #[arg(long)]
    dry_run: bool,
    /// Select only the mutants whose names contain one of these texts.
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MutantList {
    mutant: Vec<Mutant>,
}

/// A change to one file that breaks a safety rule.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    /// The rule of `docs/design.md` that the change breaks.
    rule: String,
    file: PathBuf,
    /// The text that is replaced. It occurs exactly once in the file.
    find: String,
    replace: String,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{path}: {source}")]
    File { path: PathBuf, source: io::Error },
    #[error("{path}: {source}")]
    List {
        path: PathBuf,
        source: toml::de::Error,
    },
    #[error("{name}: `find` occurs {occurrences} times in {file}, not once")]
    Stale {
        name: String,
        file: PathBuf,
        occurrences: usize,
    },
    #[error("git lists no files here: run it at the root of the repository")]
    NoFiles,
    #[error("{0}: {1}")]
    Command(&'static str, io::Error),
}

fn io_error_at(path: &Path) -> impl FnOnce(io::Error) -> Error + '_ {
    move |source| Error::File {
        path: path.to_owned(),
        source,
    }
}

impl Mutant {
    /// Returns `text`, the content of the file, with the change applied.
    fn apply(&self, text: &str) -> Result<String, Error> {
        match text.matches(&self.find).count() {
            1 => Ok(text.replacen(&self.find, &self.replace, 1)),
            occurrences => Err(Error::Stale {
                name: self.name.clone(),
                file: self.file.clone(),
                occurrences,
            }),
        }
    }
}

/// The result of the tests of a mutant.
enum Verdict {
    /// Tests failed: their names, or `never ends` if the timeout expired first.
    Killed(Vec<String>),
    /// All tests passed.
    Survived,
    /// The tests could not be built.
    BuildFailed,
}

/// The files that git tracks, and those that it neither tracks nor ignores. The journal is left out.
fn repository_files() -> Result<Vec<PathBuf>, Error> {
    let listed = Command::new("git")
        .args(["ls-files", "--cached", "--others", "--exclude-standard"])
        .output()
        .map_err(|error| Error::Command("git", error))?;
    let text = String::from_utf8_lossy(&listed.stdout);
    let files: Vec<PathBuf> = text
        .lines()
        .filter(|line| !line.starts_with("journal/"))
        .map(PathBuf::from)
        .filter(|path| path.is_file())
        .collect();
    if files.is_empty() {
        return Err(Error::NoFiles);
    }
    Ok(files)
}

/// Brings a copy up to date. Unchanged files are not written again, so that little is rebuilt.
fn update_copy(files: &[PathBuf], copy: &Path) -> Result<(), Error> {
    for file in files {
        let text = fs::read(file).map_err(io_error_at(file))?;
        let target = copy.join(file);
        if fs::read(&target).is_ok_and(|current| current == text) {
            continue;
        }
        if let Some(parent) = target.parent() {
            fs::create_dir_all(parent).map_err(io_error_at(parent))?;
        }
        fs::write(&target, text).map_err(io_error_at(&target))?;
    }
    Ok(())
}

/// The names of the failed tests in the output of `cargo test`, sorted and without duplicates.
fn failed_tests(output: &str) -> Vec<String> {
    let mut names: Vec<String> = output
        .lines()
        .filter_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"))
        .map(str::to_owned)
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Runs all tests in a copy. A run that does not end within `timeout` is stopped and counts as failed.
fn run_tests(copy: &Path, timeout: Duration) -> Result<Verdict, Error> {
    let output_path = copy.join("target-said.txt");
    let stdout = fs::File::create(&output_path).map_err(io_error_at(&output_path))?;
    let mut child = Command::new("cargo")
        .args(["test", "--locked", "--no-fail-fast"])
        .current_dir(copy)
        .env("CARGO_TARGET_DIR", "target")
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| Error::Command("cargo", error))?;
    let started_at = Instant::now();
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break status,
            Ok(None) if started_at.elapsed() < timeout => {
                std::thread::sleep(Duration::from_millis(200))
            }
            Ok(None) => {
                let _ = child.kill();
                let _ = child.wait();
                return Ok(Verdict::Killed(vec!["never ends".into()]));
            }
            Err(error) => return Err(Error::Command("cargo", error)),
        }
    };
    let output = fs::read_to_string(&output_path).map_err(io_error_at(&output_path))?;
    let names = failed_tests(&output);
    Ok(match (status.success(), output.contains("test result:")) {
        (true, _) => Verdict::Survived,
        (false, false) => Verdict::BuildFailed,
        (false, true) => Verdict::Killed(names),
    })
}

/// Checks that all selected mutants apply, then tests them, except in a dry run. Returns whether none survived or
/// failed to build.
fn run(args: &Args) -> Result<bool, Error> {
    let text = fs::read_to_string(&args.list).map_err(io_error_at(&args.list))?;
    let list: MutantList = toml::from_str(&text).map_err(|source| Error::List {
        path: args.list.clone(),
        source,
    })?;
    let is_selected = |mutant: &Mutant| {
        args.names.is_empty() || args.names.iter().any(|name| mutant.name.contains(name))
    };
    let mutants: Vec<Mutant> = list.mutant.into_iter().filter(is_selected).collect();
    for mutant in &mutants {
        let text = fs::read_to_string(&mutant.file).map_err(io_error_at(&mutant.file))?;
        mutant.apply(&text)?;
    }
    println!("{} changes, each applies", mutants.len());
    if args.dry_run {
        return Ok(true);
    }
    let files = repository_files()?;
    let queue = Mutex::new(mutants.into_iter());
    let not_killed = Mutex::new(Vec::new());
    let test_queued = |copy_index: usize| -> Result<(), Error> {
        let copy_dir = args.scratch.join(copy_index.to_string());
        loop {
            let mutant = queue.lock().expect("the lock is not poisoned").next();
            let Some(mutant) = mutant else { return Ok(()) };
            update_copy(&files, &copy_dir)?;
            let file = copy_dir.join(&mutant.file);
            let text = fs::read_to_string(&file).map_err(io_error_at(&file))?;
            fs::write(&file, mutant.apply(&text)?).map_err(io_error_at(&file))?;
            let verdict = run_tests(&copy_dir, Duration::from_secs(args.timeout_s))?;
            let Mutant { name, rule, .. } = mutant;
            match &verdict {
                Verdict::Killed(tests) => {
                    println!("noticed    {name} ({rule}): {}", tests.join(", "))
                }
                Verdict::Survived => println!("UNNOTICED  {name} ({rule})"),
                Verdict::BuildFailed => println!("NO BUILD   {name} ({rule})"),
            }
            if !matches!(verdict, Verdict::Killed(_)) {
                not_killed
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(name);
            }
        }
    };
    std::thread::scope(|scope| {
        let test_queued = &test_queued;
        let threads: Vec<_> = (0..args.jobs.max(1))
            .map(|copy_index| scope.spawn(move || test_queued(copy_index)))
            .collect();
        threads
            .into_iter()
            .try_for_each(|thread| thread.join().expect("a worker thread does not panic"))
    })?;
    let not_killed = not_killed.into_inner().expect("the lock is not poisoned");
    if !not_killed.is_empty() {
        println!("not noticed by any test: {}", not_killed.join(", "));
    }
    Ok(not_killed.is_empty())
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("dalelb-mutants: {error}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
