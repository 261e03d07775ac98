//! The cases. Each returns `None` if it couldn't run.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    balancer::Balancer,
    map,
    record::Record,
    site::{Plan, Site},
    user::{Job, User},
    value::V,
};

pub fn run(case: &str, root: &Path, record: Record, trouble: bool) -> Verdict {
    let broken = match case {
        "gpu-offer" => gpu_offer(root, record, trouble),
        "small-tasks" => small_tasks(root, record, trouble),
        "cut-node" => cut_node(root, record, trouble),
        "mistakes" => mistakes(root, record, trouble),
        _ => None,
    };
    match broken {
        Some(true) => Verdict::Broken,
        Some(false) => Verdict::Held,
        None => Verdict::Failed,
    }
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Uploads and submits a job; `None` if it is not accepted.
fn submit(site: &Site, user: &mut User, job: &Job) -> Option<()> {
    job.upload(&site.fleet);
    user.submit(job).then_some(())
}

/// Asks about all jobs every 5 s until all are done, or for `seconds`. Returns which are done.
fn wait_done(site: &Site, user: &mut User, jobs: &[Job], seconds: f64) -> Vec<bool> {
    let started_at = Instant::now();
    let mut done = vec![false; jobs.len()];
    while started_at.elapsed().as_secs_f64() < seconds {
        for (job, done) in jobs.iter().zip(&mut done) {
            if !*done {
                let status = user.status(&job.id);
                *done = status == "done";
                let (running, starts, completed) = site.fleet.tasks_of(&job.id);
                site.record.line(&format!(
                    "{}: user is told {status}; {running} tasks on machines, {starts} starts so far, {completed} completed",
                    job.id
                ));
            }
        }
        if done.iter().all(|done| *done) {
            break;
        }
        pause(5.0);
    }
    done
}

/// The objectives of the smallest deployment, as its settings hold them.
fn objectives() -> Vec<V> {
    let objective = |kind: &str, class: &str, within_s: f64, share: f64| {
        map! {"kind" => kind, "class" => class, "within_s" => within_s, "share" => share}
    };
    vec![
        objective("wait", "stock-recount", 20.0, 0.9),
        objective("wait", "stock-recount", 60.0, 0.9),
        objective("finished", "stock-recount", 180.0, 0.9),
        objective("wait", "dealer-shop", 3.0, 0.88),
        map! {"kind" => "guarantee", "within_s" => 5.0, "share" => 0.92},
    ]
}

/// The cloud's list has a type with GPUs; arrays of two teams, both within their guarantees, come three times as often.
fn gpu_offer(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let mut plan = Plan::veloteka();
    plan.machine_type.offers_gpus = true;
    plan.objectives = objectives();
    let site = plan.start(root, record.clone())?;
    let mut user = site.user(0);
    let mut shop = Job::array(100, "dealer-shop", "uebt", 2, 4.0, 15.0, 0.0);
    (shop.standing, shop.urgency, shop.apart) = (true, "critical", true);
    submit(&site, &mut user, &shop)?;
    pause(2.0);
    let per_team = if trouble { 3 } else { 1 };
    let mut jobs = Vec::new();
    for (team, first) in [("sklad", 200), ("ceni", 300)] {
        for number in 0..per_team {
            let mut job = Job::array(first + number, "stock-recount", team, 11, 4.0, 14.0, 30.0);
            job.urgency = "high";
            jobs.push(job);
        }
    }
    for job in &jobs {
        submit(&site, &mut user, job)?;
    }
    let done = wait_done(&site, &mut user, &jobs, 98.0);
    let done = done.iter().filter(|done| **done).count();
    let (_, starts, _) = site.fleet.tasks_of(&shop.id);
    let (stopped, ended) = (site.fleet.counts().stopped_tasks, site.nodes.ended());
    record.say(&format!(
        "{done} of {} arrays done; {stopped} running tasks stopped by command, though nothing waits that has a higher \
         priority and no team runs more than its guarantee; the two replicas of the critical service started {starts} \
         times; {ended:?}",
        jobs.len()
    ));
    site.stop();
    Some(stopped > 0 && 2 * done < jobs.len())
}

/// Arrays of small tasks, of which hundreds fit on a machine, come three times as often.
fn small_tasks(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let mut plan = Plan::pataka();
    plan.log_tasks = false;
    let site = plan.start(root, record.clone())?;
    let mut user = site.user(0);
    let count = if trouble { 3 } else { 1 };
    let jobs: Vec<Job> = (0..count)
        .map(|number| Job::array(412 + number, "thumbs", "ingest", 600, 0.0175, 0.07, 20.0))
        .collect();
    for job in &jobs {
        submit(&site, &mut user, job)?;
    }
    let done = wait_done(&site, &mut user, &jobs, 91.0);
    let done = done.iter().filter(|done| **done).count();
    let counts = site.fleet.counts();
    site.record.say(&format!(
        "{done} of {} jobs done 90 s after they were accepted; {counts:?}",
        jobs.len()
    ));
    site.stop();
    Some(done < jobs.len())
}

/// A controller loses the state service and the other controllers, and keeps its users.
fn cut_node(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let plan = Plan::veloteka();
    let site = plan.start(root, record.clone())?;
    let addrs: Vec<_> = site
        .nodes
        .addrs()
        .into_iter()
        .map(|(_, addr)| addr)
        .collect();
    let balancer = Balancer::start(&addrs);
    pause(1.5);
    let mut users = Vec::new();
    for number in 0..9 {
        let mut user = User::new(balancer.addr, &record);
        let mut job = Job::array(100 + number, "dealer-shop", "uebt", 1, 4.0, 15.0, 0.0);
        job.standing = true;
        job.urgency = "critical";
        submit(&site, &mut user, &job)?;
        users.push((job, user));
    }
    let cut = (site.leader()? + 1) % 3;
    if trouble {
        record.say(&format!(
            "{} loses the state service and the other controllers",
            site.nodes.nodes[cut].label
        ));
        site.nodes.cut(cut, true);
    }
    let polls: Vec<_> = users
        .into_iter()
        .map(|(job, mut user)| {
            thread::spawn(move || {
                let started_at = Instant::now();
                let (mut answered, mut failed, mut failing_since, mut longest) =
                    (0, 0, None, 0.0_f64);
                while started_at.elapsed() < Duration::from_secs(97) {
                    let now = started_at.elapsed().as_secs_f64();
                    if user.status(&job.id).is_empty() {
                        failed += 1;
                        longest = longest.max(now - *failing_since.get_or_insert(now));
                    } else {
                        answered += 1;
                        failing_since = None;
                    }
                    // Users poll about every 5 s.
                    pause((5.0 - (started_at.elapsed().as_secs_f64() - now)).max(0.0));
                }
                (job.id, answered, failed, longest)
            })
        })
        .collect();
    let mut forgotten = 0;
    let mut answered_jobs = 0;
    let total = polls.len();
    for poll in polls {
        let (id, answered, failed, longest) = poll.join().ok()?;
        record.say(&format!(
            "{id}: {answered} polls answered, {failed} failed; every poll failed for {longest:.0} s"
        ));
        forgotten += usize::from(longest >= 90.0);
        answered_jobs += usize::from(failed == 0);
    }
    site.nodes.cut(cut, false);
    site.stop();
    Some(forgotten > 0 && 2 * answered_jobs > total)
}

/// Jobs that were submitted with a mistake fail on every machine, and are cancelled.
fn mistakes(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let plan = Plan::veloteka();
    let site = plan.start(root, record.clone())?;
    let mut user = site.user(0);
    // A replica on each machine, which leaves 7 CPUs there.
    let mut shop = Job::array(100, "dealer-shop", "uebt", 6, 9.0, 15.0, 0.0);
    (shop.standing, shop.urgency, shop.apart) = (true, "critical", true);
    submit(&site, &mut user, &shop)?;
    pause(3.0);
    if site.fleet.free().iter().any(|(_, cpus, _)| *cpus > 7.5) {
        record.say("the replicas are not on six machines");
        return None;
    }
    if trouble {
        let jobs = (0..3)
            .map(|number| Job::array(200 + number, "stock-recount", "ceni", 6, 1.0, 1.0, 0.2));
        let jobs: Vec<Job> = jobs.map(|job| Job { fails: true, ..job }).collect();
        for job in &jobs {
            submit(&site, &mut user, job)?;
        }
        pause(6.0);
        for job in &jobs {
            user.abort(&job.id).then_some(())?;
        }
        record.say("the jobs with a mistake are cancelled");
    }
    pause(2.0);
    let jobs: Vec<Job> = (0..6)
        .map(|number| Job::array(300 + number, "count", "sklad", 1, 6.0, 5.0, 300.0))
        .collect();
    for job in &jobs {
        submit(&site, &mut user, job)?;
    }
    let mut waited = vec![0.0_f64; jobs.len()];
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(94) {
        pause(2.0);
        let free = site.fleet.free();
        let room = free
            .iter()
            .find(|(_, cpus, ram_gb)| *cpus >= 6.0 && *ram_gb >= 5.0);
        for (job, waited) in jobs.iter().zip(&mut waited) {
            let (_, starts, _) = site.fleet.tasks_of(&job.id);
            if starts == 0
                && let Some((machine, cpus, _)) = room
            {
                *waited = started_at.elapsed().as_secs_f64();
                record.line(&format!(
                    "{} waits for 6 CPUs, and {machine} has {cpus:.1} free",
                    job.id
                ));
            }
        }
        if waited.iter().all(|waited| *waited < 10.0)
            && started_at.elapsed() > Duration::from_secs(15)
        {
            break;
        }
    }
    for (job, waited) in jobs.iter().zip(&waited) {
        let status = user.status(&job.id);
        record.say(&format!(
            "{}: {status}; left waiting for {waited:.0} s while a machine had room",
            job.id
        ));
    }
    record.say(&format!("CPUs and memory free: {:?}", site.fleet.free()));
    site.stop();
    Some(waited.iter().any(|waited| *waited >= 90.0))
}
