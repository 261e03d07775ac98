//! Runs one experiment: starts the regions, applies the load, measures, and optionally kills the leader.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    controller_process::Usage,
    drill::{self, DrillFigures},
    invariants::InvariantChecker,
    measure::{self, Figures, Point, Snapshot},
    region::{Region, RunError},
    settings::{Experiment, MAX_MEMORY_BYTES, Plan},
    user_load::UserLoad,
};

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const FILL_TIMEOUT: Duration = Duration::from_secs(150);
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
/// Fraction of the workers that must be registered with the leader, or of the replicas that must run.
const FILLED_FRACTION: f64 = 0.98;
/// Fraction of the workers that must be registered with the new leader after a failover.
const RECOVERED_FRACTION: f64 = 0.9;

/// A running experiment.
pub struct Run {
    /// The regions, by index.
    pub regions: Vec<Region>,
    /// The users of each region.
    pub users: Vec<UserLoad>,
    /// The submitted jobs of all regions and the invariants that are checked on them.
    pub rules: Arc<InvariantChecker>,
    /// The deployment and its load.
    pub experiment: Experiment,
    ready_s: f64,
}

/// The controller program and the working directory of a run.
pub struct RunPaths {
    /// The `dalelb` program.
    pub program: PathBuf,
    /// Directory for the settings files and logs of the controllers.
    pub directory: PathBuf,
}

impl Run {
    /// Starts all regions and waits until each has a leader with which the workers are registered.
    pub async fn start(experiment: &Experiment, places: &RunPaths) -> Result<Self, RunError> {
        let cancel = Duration::from_secs_f64(experiment.cancel_s);
        let rules = Arc::new(InvariantChecker::new(cancel));
        let began = Instant::now();
        let (program, directory) = (places.program.as_path(), places.directory.as_path());
        let regions = (0..experiment.regions)
            .map(|index| Region::start(index, experiment, &rules, program, directory))
            .collect::<Result<Vec<_>, _>>()?;
        let users = regions.iter();
        let users = users.map(|region| UserLoad::new(region, experiment, &rules));
        let mut run = Run {
            users: users.collect(),
            regions,
            rules,
            experiment: experiment.clone(),
            ready_s: 0.0,
        };
        for region in 0..run.regions.len() {
            for node in 0..experiment.nodes {
                while !run.regions[region].ready(node).await {
                    run.alive(began, READY_TIMEOUT, "all controllers are ready")
                        .await?;
                }
                if region == 0 && node == 0 {
                    run.ready_s = began.elapsed().as_secs_f64();
                }
            }
        }
        for region in 0..run.regions.len() {
            while !run.knows_workers(region, FILLED_FRACTION).await {
                run.alive(
                    began,
                    READY_TIMEOUT,
                    "the workers are registered with the leader",
                )
                .await?;
            }
        }
        Ok(run)
    }

    /// Whether at least this fraction of a region's workers is registered with its leader.
    pub async fn knows_workers(&self, region: usize, part: f64) -> bool {
        let region = &self.regions[region];
        let Some(leader) = region.leader().await else {
            return false;
        };
        let Some(metrics) = region.metrics(leader).await else {
            return false;
        };
        let up = metrics.value("dalelb_machines{state=\"up\"}");
        up.unwrap_or(0.0) >= part * region.cloud.instance_count() as f64
    }

    /// Waits one polling interval. Fails if a controller has exited, too much memory is in use or `within` has passed.
    async fn alive(
        &mut self,
        since: Instant,
        within: Duration,
        what: &str,
    ) -> Result<(), RunError> {
        tokio::time::sleep(POLL_INTERVAL).await;
        self.check()?;
        if since.elapsed() > within {
            return Err(RunError::TimedOut {
                what: what.to_owned(),
                seconds: within.as_secs(),
            });
        }
        Ok(())
    }

    /// Fails if a controller has exited or too much memory is in use.
    pub fn check(&mut self) -> Result<(), RunError> {
        let mut held = Usage::own().memory;
        for region in &mut self.regions {
            region.check_controllers_alive()?;
            let controllers = region.controllers.iter();
            held += controllers.map(|each| each.usage().memory).sum::<u64>();
        }
        if held > MAX_MEMORY_BYTES {
            return Err(RunError::Memory {
                held_mb: held / 1_000_000,
                most_mb: MAX_MEMORY_BYTES / 1_000_000,
            });
        }
        Ok(())
    }

    /// Waits for `length` while checking the controllers, the memory usage and cancelled jobs.
    pub async fn run_for(&mut self, length: Duration) -> Result<(), RunError> {
        let until = Instant::now() + length;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(SECOND)).await;
            self.check()?;
            self.rules.check_cancellations();
        }
        Ok(())
    }

    /// Submits the services, waits until a replica runs on each worker, and starts the array load.
    pub async fn load(&mut self) -> Result<(), RunError> {
        let fills = self.users.iter().cloned();
        let fills: Vec<_> = fills
            .map(|users| tokio::spawn(async move { users.submit_services().await }))
            .collect();
        let began = Instant::now();
        let filled = if self.experiment.replica_cpus > 0.0 {
            self.experiment.workers * self.experiment.regions
        } else {
            0
        };
        while (self.rules.running_count() as f64) < FILLED_FRACTION * filled as f64 {
            self.alive(began, FILL_TIMEOUT, "a replica runs on each worker")
                .await?;
        }
        for fill in fills {
            let _ = fill.await;
        }
        for users in &self.users {
            tokio::spawn(users.clone().run_load());
        }
        Ok(())
    }

    /// Measures the first region for `length`.
    pub async fn measure(&mut self, length: Duration) -> Result<Figures, RunError> {
        let began = Instant::now();
        let leader = loop {
            if let Some(leader) = self.regions[0].leader().await {
                break leader;
            }
            self.alive(began, READY_TIMEOUT, "the first region has a leader")
                .await?;
        };
        self.rules.reset_latencies();
        let counts = self.users[0].clone();
        let first = Snapshot::of(&self.regions[0], leader, &self.rules, counts.counts());
        self.run_for(length).await?;
        let last = Snapshot::of(&self.regions[0], leader, &self.rules, counts.counts());
        let mut figures = first.until(&last, &self.regions[0], &self.rules);
        figures.ready_s = self.ready_s;
        Ok(figures)
    }

    /// Kills a region's leader and returns the seconds until most workers are registered with a successor; `None`: there
    /// was no leader, or no successor within the timeout.
    pub async fn kill_leader(&mut self, region: usize) -> Result<Option<f64>, RunError> {
        let Some(leader) = self.regions[region].leader().await else {
            return Ok(None);
        };
        let controller = &mut self.regions[region].controllers[leader];
        controller.kill().await.map_err(|source| RunError::Start {
            program: controller.address.label.clone(),
            source,
        })?;
        let began = Instant::now();
        while began.elapsed() < FAILOVER_TIMEOUT {
            if self.knows_workers(region, RECOVERED_FRACTION).await {
                let took = began.elapsed().as_secs_f64();
                self.regions[region].restart(leader)?;
                return Ok(Some(took));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.regions[region].restart(leader)?;
        Ok(None)
    }

    /// Stops the users and kills all controllers.
    pub async fn shut_down(mut self) {
        for users in &self.users {
            users.stop();
        }
        for region in &mut self.regions {
            for controller in &mut region.controllers {
                // An error means that the controller has exited already.
                let _ = controller.kill().await;
            }
        }
    }
}

/// Runs a plan from start to shutdown.
pub async fn run_plan(plan: &Plan, places: &RunPaths) -> Result<Point, RunError> {
    let mut run = Run::start(&plan.experiment, places).await?;
    let measured = load_and_measure(&mut run).await;
    let (broken, broken_first) = run.rules.violations();
    run.shut_down().await;
    let (figures, reference_ms, drill) = measured?;
    let (vary, value, base) = match plan.varied {
        Some((vary, value, base)) => (Some(vary), value, base),
        None => (None, 0.0, 0.0),
    };
    Ok(Point {
        vary,
        value,
        base,
        run: plan.run,
        experiment: plan.experiment.clone(),
        reference_ms,
        figures,
        drill,
        broken,
        broken_first,
    })
}

type Measurement = (Figures, f64, Option<DrillFigures>);

async fn load_and_measure(run: &mut Run) -> Result<Measurement, RunError> {
    run.load().await?;
    let warm_up = Duration::from_secs_f64(run.experiment.warm_up_s);
    // The load is in a steady state once tasks complete at the rate at which they start.
    let first_ends = Duration::from_secs_f64(run.experiment.run_s);
    run.run_for(warm_up + first_ends).await?;
    let reference_ms = tokio::task::spawn_blocking(measure::reference);
    let length = Duration::from_secs_f64(run.experiment.measure_s);
    let mut figures = run.measure(length).await?;
    let reference_ms = reference_ms.await.unwrap_or(0.0);
    if let Some(drill) = run.experiment.drill.clone() {
        let played = drill::run_drill(run, &drill).await?;
        return Ok((figures, reference_ms, Some(played)));
    }
    if run.experiment.takeover {
        figures.takeover_s = run.kill_leader(0).await?;
    }
    Ok((figures, reference_ms, None))
}

/// Creates the directory for settings and logs; its name contains the process id of this run of the tool.
pub fn work_directory(parent: &Path) -> Result<PathBuf, RunError> {
    let directory = parent.join(format!("dalelb-load-test-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(|source| RunError::Write {
        path: directory.display().to_string(),
        source,
    })?;
    Ok(directory)
}
