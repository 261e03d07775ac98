//! Users: they submit jobs, ask about them and cancel some, as the pages say.

use std::{net::SocketAddr, time::Duration};

use crate::{
    fleet::{Description, Fleet},
    http::{Connection, Response},
    map,
    record::Record,
    value::V,
};

pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
pub const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// A job as its user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    pub standing: bool,
    pub urgency: &'static str,
    pub tasks: u64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub size_gb: f64,
    pub run_s: f64,
    pub apart: bool,
    pub awaits: Vec<String>,
    pub builds: Option<Vec<String>>,
}

impl Job {
    /// An array of independent tasks.
    pub fn array(
        number: u64,
        class: &str,
        team: &str,
        tasks: u64,
        cpus: f64,
        ram_gb: f64,
        run_s: f64,
    ) -> Job {
        Job {
            id: format!("j-{number:06}"),
            class: class.into(),
            team: team.into(),
            standing: false,
            urgency: "standard",
            tasks,
            cpus,
            ram_gb,
            size_gb: 0.2,
            run_s,
            apart: false,
            awaits: Vec::new(),
            builds: None,
        }
    }

    pub fn message(&self) -> V {
        let awaits = self.awaits.iter().map(|id| V::from(id.as_str())).collect();
        let builds = self.builds.as_ref().map_or(V::Null, |builds| {
            V::List(builds.iter().map(|name| V::from(name.as_str())).collect())
        });
        let mut message = map! {"id" => self.id.as_str(), "lane" => self.class.as_str(), "crew" => self.team.as_str(),
        "shape" => if self.standing { "standing" } else { "array" }, "urgency" => self.urgency,
        "pieces" => self.tasks, "cpus" => self.cpus, "gpus" => 0.0, "ram_gb" => self.ram_gb,
        "kit" => format!("img-{}", self.class), "size_gb" => self.size_gb, "builds" => builds, "yard" => V::Null,
        "together" => false, "apart" => self.apart, "loaners" => false,
        "guess_s" => if self.standing { 0.0 } else { self.run_s }, "bookmark_s" => 0.0, "stash_s" => 0.0,
        "due_s" => V::Null};
        if let (V::Map(fields), false) = (&mut message, self.awaits.is_empty()) {
            fields.push(("awaits".into(), V::List(awaits)));
        }
        message
    }

    /// Uploads its description for the workers.
    pub fn upload(&self, fleet: &Fleet) {
        fleet.describe(
            &self.id,
            Description {
                tasks: self.tasks,
                cpus: self.cpus,
                ram_gb: self.ram_gb,
                kit: format!("img-{}", self.class),
                size_gb: self.size_gb,
                run_s: (!self.standing).then_some(self.run_s),
                builds: self.builds.clone(),
            },
        );
    }
}

/// A user with a connection to one controller.
pub struct User {
    pub connection: Connection,
    record: Record,
}

impl User {
    pub fn new(addr: SocketAddr, record: &Record) -> User {
        User {
            connection: Connection::new(addr),
            record: record.clone(),
        }
    }

    fn note(&self, what: &str, job: &str, response: &Option<Response>) {
        let answer = match response {
            Some(response) => format!("{} {}", response.status, response.body.json()),
            None => "no answer".into(),
        };
        self.record.line(&format!("{what} {job}: {answer}"));
    }

    /// Submits once.
    pub fn submit_once(&mut self, job: &Job) -> Option<Response> {
        let response =
            self.connection
                .call("POST", "/v2/runs", Some(&job.message()), SUBMIT_TIMEOUT);
        self.note("submit", &job.id, &response);
        response
    }

    /// Submits until the job is accepted, for up to 60 s; whether it was.
    pub fn submit(&mut self, job: &Job) -> bool {
        let started_at = std::time::Instant::now();
        while started_at.elapsed() < Duration::from_secs(60) {
            let response = self.submit_once(job);
            match response.as_ref().map(|response| response.status) {
                Some(200 | 201) => return true,
                Some(400 | 422) => return false,
                _ => {}
            }
            let retry_after_s = response
                .and_then(|response| response.retry_after_s)
                .unwrap_or(1);
            std::thread::sleep(Duration::from_secs(retry_after_s.clamp(1, 30)));
        }
        false
    }

    /// Asks about a job.
    pub fn poll(&mut self, id: &str) -> Option<Response> {
        let response = self
            .connection
            .call("GET", &format!("/v2/runs/{id}"), None, POLL_TIMEOUT);
        self.note("poll", id, &response);
        response
    }

    /// The status of a job; empty if the poll got no answer with 200.
    pub fn status(&mut self, id: &str) -> String {
        let response = self.poll(id).filter(|response| response.status == 200);
        response
            .map(|response| response.body.get("status").text().to_owned())
            .unwrap_or_default()
    }
}
