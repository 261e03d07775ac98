//! Breaks the safety rules of `docs/design.md` on purpose, one at a time, each in a copy of the
//! repository, and tells which tests notice. A rule that can be broken unnoticed is not tested.

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
    /// The changes to try.
    #[arg(long, default_value = "crates/mutants/mutants.toml")]
    list: PathBuf,
    /// Copies and what is built of them are kept here: gigabytes for each copy.
    #[arg(long, default_value = "target/mutants")]
    scratch: PathBuf,
    /// How many changes are tried at a time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// How long building and testing one change may take, in seconds.
    #[arg(long, default_value_t = 900)]
    timeout_s: u64,
    /// Only see whether each change still applies.
    #[arg(long)]
    dry_run: bool,
    /// Only changes whose names contain one of these.
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MutantList {
    mutant: Vec<Mutant>,
}

/// A change that breaks a rule.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    /// The rule of `docs/design.md` that it breaks.
    rule: String,
    file: PathBuf,
    /// Occurs once in the file.
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
    #[error("{name}: what it replaces occurs {times} times in {file}, not once")]
    Stale {
        name: String,
        file: PathBuf,
        times: usize,
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
    /// The file as the change leaves it.
    fn apply(&self, text: &str) -> Result<String, Error> {
        match text.matches(&self.find).count() {
            1 => Ok(text.replacen(&self.find, &self.replace, 1)),
            times => Err(Error::Stale {
                name: self.name.clone(),
                file: self.file.clone(),
                times,
            }),
        }
    }
}

enum Verdict {
    /// By these tests, or by what is said in their place.
    Noticed(Vec<String>),
    Unnoticed,
    DoesNotBuild,
}

/// Files that git knows, without what is ignored.
fn files() -> Result<Vec<PathBuf>, Error> {
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

/// Brings a copy up to date. Files that are the same are left alone, so that little is built anew.
fn copy(files: &[PathBuf], to: &Path) -> Result<(), Error> {
    for file in files {
        let text = fs::read(file).map_err(io_error_at(file))?;
        let target = to.join(file);
        if fs::read(&target).is_ok_and(|known| known == text) {
            continue;
        }
        if let Some(parent) = target.parent() {
            fs::create_dir_all(parent).map_err(io_error_at(parent))?;
        }
        fs::write(&target, text).map_err(io_error_at(&target))?;
    }
    Ok(())
}

/// The names of failed tests in what `cargo test` prints.
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

/// Runs the tests of a copy.
fn test(copy: &Path, timeout: Duration) -> Result<Verdict, Error> {
    let said = copy.join("target-said.txt");
    let file = fs::File::create(&said).map_err(io_error_at(&said))?;
    let mut child = Command::new("cargo")
        .args(["test", "--locked", "--no-fail-fast"])
        .current_dir(copy)
        .env("CARGO_TARGET_DIR", "target")
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| Error::Command("cargo", error))?;
    let began = Instant::now();
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break status,
            Ok(None) if began.elapsed() < timeout => std::thread::sleep(Duration::from_millis(200)),
            Ok(None) => {
                let _ = child.kill();
                let _ = child.wait();
                return Ok(Verdict::Noticed(vec!["never ends".into()]));
            }
            Err(error) => return Err(Error::Command("cargo", error)),
        }
    };
    let output = fs::read_to_string(&said).map_err(io_error_at(&said))?;
    let names = failed_tests(&output);
    Ok(match (status.success(), output.contains("test result:")) {
        (true, _) => Verdict::Unnoticed,
        (false, false) => Verdict::DoesNotBuild,
        (false, true) => Verdict::Noticed(names),
    })
}

fn run(args: &Args) -> Result<bool, Error> {
    let text = fs::read_to_string(&args.list).map_err(io_error_at(&args.list))?;
    let list: MutantList = toml::from_str(&text).map_err(|source| Error::List {
        path: args.list.clone(),
        source,
    })?;
    let asked = |mutant: &Mutant| {
        args.names.is_empty() || args.names.iter().any(|name| mutant.name.contains(name))
    };
    let mutants: Vec<Mutant> = list.mutant.into_iter().filter(asked).collect();
    for mutant in &mutants {
        let text = fs::read_to_string(&mutant.file).map_err(io_error_at(&mutant.file))?;
        mutant.apply(&text)?;
    }
    println!("{} changes, each applies", mutants.len());
    if args.dry_run {
        return Ok(true);
    }
    let files = files()?;
    let queue = Mutex::new(mutants.into_iter());
    let unnoticed = Mutex::new(Vec::new());
    let work = |slot: usize| -> Result<(), Error> {
        let place = args.scratch.join(slot.to_string());
        loop {
            let next = queue.lock().expect("no panic holds it").next();
            let Some(mutant) = next else { return Ok(()) };
            copy(&files, &place)?;
            let file = place.join(&mutant.file);
            let text = fs::read_to_string(&file).map_err(io_error_at(&file))?;
            fs::write(&file, mutant.apply(&text)?).map_err(io_error_at(&file))?;
            let verdict = test(&place, Duration::from_secs(args.timeout_s))?;
            let Mutant { name, rule, .. } = mutant;
            match &verdict {
                Verdict::Noticed(by) => println!("noticed    {name} ({rule}): {}", by.join(", ")),
                Verdict::Unnoticed => println!("UNNOTICED  {name} ({rule})"),
                Verdict::DoesNotBuild => println!("NO BUILD   {name} ({rule})"),
            }
            if !matches!(verdict, Verdict::Noticed(_)) {
                unnoticed.lock().expect("no panic holds it").push(name);
            }
        }
    };
    std::thread::scope(|scope| {
        let work = &work;
        let slots: Vec<_> = (0..args.jobs.max(1))
            .map(|slot| scope.spawn(move || work(slot)))
            .collect();
        slots
            .into_iter()
            .try_for_each(|slot| slot.join().expect("a slot does not panic"))
    })?;
    let unnoticed = unnoticed.into_inner().expect("no panic holds it");
    if !unnoticed.is_empty() {
        println!("not noticed by any test: {}", unnoticed.join(", "));
    }
    Ok(unnoticed.is_empty())
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
