//! A small deployment: three controllers, the state service, the cloud with its machines, and the links between them.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use crate::{
    fleet::{Fleet, MachineType, WorkerTimes},
    map,
    nodes::Nodes,
    record::Record,
    store::{Limits, Store},
    user::User,
    value::V,
};

/// What differs between deployments.
pub struct Plan {
    pub zones: Vec<String>,
    /// The zone of each controller.
    pub controllers: Vec<String>,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub types: Vec<MachineType>,
    /// How many of the types the cloud lists at the start; `None`: all.
    pub listed_types: Option<usize>,
    pub times: WorkerTimes,
    pub cancel_s: f64,
    pub limits: Limits,
    pub mem_mb: f64,
    pub objectives: Vec<V>,
    pub log_tasks: bool,
}

/// A running deployment.
pub struct Site {
    pub nodes: Nodes,
    pub store: Store,
    pub fleet: Arc<Fleet>,
    pub record: Record,
    /// The temporary folder with settings and logs.
    pub dir: PathBuf,
}

fn limits_value(limits: Limits) -> Vec<(String, V)> {
    vec![
        ("rps".into(), V::from(limits.rps)),
        ("write_rps".into(), V::from(limits.write_rps)),
        ("value_kb".into(), V::from(limits.value_kb)),
        ("txn_ops".into(), V::from(limits.txn_ops as u64)),
    ]
}

impl Plan {
    /// The deployment `veloteka-ops` with the six machines that it has at the start.
    pub fn veloteka() -> Plan {
        let zones: Vec<String> = ["sofia-a", "sofia-b", "frankfurt-c"]
            .map(String::from)
            .into();
        Plan {
            controllers: zones.clone(),
            zones,
            teams: vec![
                ("sklad", 168.0, 672.0),
                ("ceni", 200.0, 672.0),
                ("uebt", 112.0, 336.0),
            ],
            types: vec![MachineType {
                name: "rila16".into(),
                cpus: 16.0,
                ram_gb: 64.0,
                pull_gb_per_s: 0.3,
                gpus: 0.0,
                hourly: 0.89,
                ready_s: 15.0,
                up_per_zone: 2,
                available: 0,
            }],
            listed_types: None,
            times: WorkerTimes {
                report_s: 2.5,
                lease_s: 14.0,
            },
            cancel_s: 34.0,
            limits: Limits {
                rps: 150.0,
                write_rps: 60.0,
                value_kb: 16.0,
                txn_ops: 48,
            },
            mem_mb: 104.0,
            objectives: Vec::new(),
            log_tasks: true,
        }
    }

    fn settings(&self) -> V {
        let teams = self.teams.iter().map(|(name, cpus, cpus_max)| {
            map! {"name" => *name, "cpus" => *cpus, "cpus_max" => *cpus_max, "gpus" => 0.0, "gpus_max" => 0.0}
        });
        let state = limits_value(self.limits);
        let zones = self
            .zones
            .iter()
            .map(|zone| V::from(zone.as_str()))
            .collect();
        map! {"count" => self.controllers.len() as u64, "zones" => V::List(zones), "teams" => V::List(teams.collect()),
        "objectives" => V::List(self.objectives.clone()),
        "workers" => map! {"report_s" => self.times.report_s, "lease_s" => self.times.lease_s,
            "gang_wait_s" => 50.0, "gang_peer_s" => 5.0, "cancel_s" => self.cancel_s},
        "state" => V::Map(state), "cloud" => map! {"rps" => 3.0, "list_lag_s" => 6.0},
        "limits" => map! {"cpu" => 0.08, "mem_mb" => self.mem_mb, "sockets" => 1500u64},
        "clock_error_ms" => 100.0}
    }

    /// Starts the deployment; `None` if its controllers don't become ready.
    pub fn start(self, root: &Path, record: Record) -> Option<Site> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).ok()?;
        let store = Store::start(self.limits, self.controllers.len());
        let nodes = Nodes::new(root, &dir, &self.controllers, &store.addrs, record.clone());
        let fleet = Fleet::start(
            self.types.clone(),
            self.times,
            &self.zones,
            nodes.addrs(),
            record.clone(),
            self.log_tasks,
        );
        fleet.list_types(self.listed_types.unwrap_or(self.types.len()));
        let cloud = fleet.start_cloud();
        nodes.write_settings(&self.controllers, cloud, &self.settings());
        for index in 0..self.controllers.len() {
            nodes.start(index).ok()?;
        }
        let leader = store.clone();
        let ready = nodes.wait_ready(move || leader.leader());
        let site = Site {
            nodes,
            store,
            fleet,
            record,
            dir,
        };
        if !ready {
            site.record.say("the controllers don't become ready");
            return None;
        }
        // All workers have found the leader by then.
        std::thread::sleep(Duration::from_secs(4));
        site.record.line("ready");
        Some(site)
    }
}

impl Site {
    /// The position of the controller that leads.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.index_of(&self.store.leader()?)
    }

    pub fn user(&self, node: usize) -> User {
        User::new(self.nodes.nodes[node].listen, &self.record)
    }

    /// Ends everything that was started.
    pub fn stop(self) {
        let counts = self.fleet.counts();
        for text in self.fleet.broken() {
            self.record.say(&text);
        }
        self.record.line(&format!(
            "{counts:?}, state service refused {:?}",
            self.store.refusals()
        ));
        self.nodes.stop();
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
