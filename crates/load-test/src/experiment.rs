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
const REPLICA_START_TIMEOUT: Duration = Duration::from_secs(150);
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
/// Fraction of the workers that must be registered with the leader, or of the replicas that must run.
const READY_FRACTION: f64 = 0.98;
/// Fraction of the workers that must be registered with the new leader after a failover.
const RECOVERED_FRACTION: f64 = 0.9;

/// A running experiment.
pub struct Run {
    /// The regions, by index.
    pub regions: Vec<Region>,
    /// The users of each region.
    pub users: Vec<UserLoad>,
    /// The submitted jobs of all regions and the invariants that are checked on them.
    pub checker: Arc<InvariantChecker>,
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
    pub async fn start(experiment: &Experiment, paths: &RunPaths) -> Result<Self, RunError> {
        let cancellation_bound = Duration::from_secs_f64(experiment.cancel_s);
        let checker = Arc::new(InvariantChecker::new(cancellation_bound));
        let started_at = Instant::now();
        let (program, directory) = (paths.program.as_path(), paths.directory.as_path());
        let regions = (0..experiment.regions)
            .map(|index| Region::start(index, experiment, &checker, program, directory))
            .collect::<Result<Vec<_>, _>>()?;
        let users = regions.iter();
        let users = users.map(|region| UserLoad::new(region, experiment, &checker));
        let mut run = Run {
            users: users.collect(),
            regions,
            checker,
            experiment: experiment.clone(),
            ready_s: 0.0,
        };
        for region in 0..run.regions.len() {
            for node in 0..experiment.nodes {
                while !run.regions[region].ready(node).await {
                    run.wait_and_check(started_at, READY_TIMEOUT, "all controllers are ready")
                        .await?;
                }
                if region == 0 && node == 0 {
                    run.ready_s = started_at.elapsed().as_secs_f64();
                }
            }
        }
        for region in 0..run.regions.len() {
            while !run.has_registered_workers(region, READY_FRACTION).await {
                run.wait_and_check(
                    started_at,
                    READY_TIMEOUT,
                    "the workers are registered with the leader",
                )
                .await?;
            }
        }
        Ok(run)
    }

    /// Whether at least this fraction of a region's workers is registered with its leader.
    pub async fn has_registered_workers(&self, region: usize, fraction: f64) -> bool {
        let region = &self.regions[region];
        let Some(leader) = region.leader().await else {
            return false;
        };
        let Some(metrics) = region.metrics(leader).await else {
            return false;
        };
        let up = metrics.value("dalelb_machines{state=\"up\"}");
        up.unwrap_or(0.0) >= fraction * region.cloud.instance_count() as f64
    }

    /// Waits one polling interval. Fails if a controller has exited, too much memory is in use or `timeout` has passed.
    async fn wait_and_check(
        &mut self,
        since: Instant,
        timeout: Duration,
        condition: &str,
    ) -> Result<(), RunError> {
        tokio::time::sleep(POLL_INTERVAL).await;
        self.check_health()?;
        if since.elapsed() > timeout {
            return Err(RunError::TimedOut {
                condition: condition.to_owned(),
                timeout_s: timeout.as_secs(),
            });
        }
        Ok(())
    }

    /// Fails if a controller has exited or too much memory is in use.
    pub fn check_health(&mut self) -> Result<(), RunError> {
        let mut memory_bytes = Usage::current_process().memory;
        for region in &mut self.regions {
            region.check_controllers_alive()?;
            let controllers = region.controllers.iter();
            memory_bytes += controllers.map(|each| each.usage().memory).sum::<u64>();
        }
        if memory_bytes > MAX_MEMORY_BYTES {
            return Err(RunError::Memory {
                used_mb: memory_bytes / 1_000_000,
                limit_mb: MAX_MEMORY_BYTES / 1_000_000,
            });
        }
        Ok(())
    }

    /// Waits for `length` while checking the controllers, the memory usage and cancelled jobs.
    pub async fn run_for(&mut self, length: Duration) -> Result<(), RunError> {
        let deadline = Instant::now() + length;
        while Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            tokio::time::sleep(remaining.min(SECOND)).await;
            self.check_health()?;
            self.checker.check_cancellations();
        }
        Ok(())
    }

    /// Submits the services, waits until a replica runs on each worker, and starts the array load.
    pub async fn start_load(&mut self) -> Result<(), RunError> {
        let submissions = self.users.iter().cloned();
        let submissions: Vec<_> = submissions
            .map(|users| tokio::spawn(async move { users.submit_services().await }))
            .collect();
        let started_at = Instant::now();
        let expected_replicas = if self.experiment.replica_cpus > 0.0 {
            self.experiment.workers * self.experiment.regions
        } else {
            0
        };
        while (self.checker.running_count() as f64) < READY_FRACTION * expected_replicas as f64 {
            self.wait_and_check(
                started_at,
                REPLICA_START_TIMEOUT,
                "a replica runs on each worker",
            )
            .await?;
        }
        for submission in submissions {
            let _ = submission.await;
        }
        for users in &self.users {
            tokio::spawn(users.clone().run_load());
        }
        Ok(())
    }

    /// Measures the first region for `length`.
    pub async fn measure(&mut self, length: Duration) -> Result<Figures, RunError> {
        let started_at = Instant::now();
        let leader = loop {
            if let Some(leader) = self.regions[0].leader().await {
                break leader;
            }
            self.wait_and_check(started_at, READY_TIMEOUT, "the first region has a leader")
                .await?;
        };
        self.checker.reset_latencies();
        let counts = self.users[0].clone();
        let start = Snapshot::of(&self.regions[0], leader, &self.checker, counts.counts());
        self.run_for(length).await?;
        let end = Snapshot::of(&self.regions[0], leader, &self.checker, counts.counts());
        let mut figures = start.figures_until(&end, &self.regions[0], &self.checker);
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
        let started_at = Instant::now();
        while started_at.elapsed() < FAILOVER_TIMEOUT {
            if self
                .has_registered_workers(region, RECOVERED_FRACTION)
                .await
            {
                let elapsed_s = started_at.elapsed().as_secs_f64();
                self.regions[region].restart(leader)?;
                return Ok(Some(elapsed_s));
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
pub async fn run_plan(plan: &Plan, paths: &RunPaths) -> Result<Point, RunError> {
    let mut run = Run::start(&plan.experiment, paths).await?;
    let measured = load_and_measure(&mut run).await;
    let (violation_count, first_violations) = run.checker.violations();
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
        violation_count,
        first_violations,
    })
}

type Measurement = (Figures, f64, Option<DrillFigures>);

async fn load_and_measure(run: &mut Run) -> Result<Measurement, RunError> {
    run.start_load().await?;
    let warm_up = Duration::from_secs_f64(run.experiment.warm_up_s);
    // The load is in a steady state once tasks complete at the rate at which they start.
    let first_completions = Duration::from_secs_f64(run.experiment.run_s);
    run.run_for(warm_up + first_completions).await?;
    let reference_ms = tokio::task::spawn_blocking(measure::measure_reference_work);
    let length = Duration::from_secs_f64(run.experiment.measure_s);
    let mut figures = run.measure(length).await?;
    let reference_ms = reference_ms.await.unwrap_or(0.0);
    if let Some(drill) = run.experiment.drill.clone() {
        let drill_figures = drill::run_drill(run, &drill).await?;
        return Ok((figures, reference_ms, Some(drill_figures)));
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
