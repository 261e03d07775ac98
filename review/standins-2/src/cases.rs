//! The cases. Each returns `None` if it couldn't run.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    balancer::Balancer,
    fleet::MachineType,
    map,
    record::Record,
    site::{Plan, Site},
    user::{Job, User},
    value::V,
};

pub fn run(case: &str, root: &Path, record: Record, trouble: bool) -> Verdict {
    let broken = match case {
        "gpu-offer" => gpu_offer(root, record, trouble),
        "cut-node" => cut_node(root, record, trouble),
        "new-type" => new_type(root, record, trouble),
        "refused-peers" => refused_peers(root, record, trouble),
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
    // The example of the page on the protocols. None is up, and none is available.
    plan.types.push(MachineType {
        name: "g8".into(),
        cpus: 96.0,
        ram_gb: 768.0,
        pull_gb_per_s: 1.0,
        gpus: 8.0,
        hourly: 12.0,
        ready_s: 45.0,
        up_per_zone: 0,
        available: 0,
    });
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

/// How long a user's view of a job may lag behind, in seconds.
const MAX_LAG_S: f64 = 3.0;

/// Connections between the controllers are refused while services begin to run.
fn refused_peers(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let plan = Plan::veloteka();
    let site = plan.start(root, record.clone())?;
    if trouble {
        record.say("connections between the controllers are refused");
        site.nodes.refuse_peers(true);
    }
    pause(1.0);
    let mut jobs = Vec::new();
    for number in 0..3 {
        let mut job = Job::array(100 + number, "dealer-shop", "uebt", 2, 4.0, 15.0, 0.0);
        (job.standing, job.urgency, job.apart) = (true, "critical", true);
        submit(&site, &mut site.user(number as usize), &job)?;
        jobs.push(job);
    }
    let mut users: Vec<User> = (0..3).map(|node| site.user(node)).collect();
    let (mut answers, mut wrong, mut longest) = (0, 0, vec![0.0_f64; 3]);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(50) {
        if started_at.elapsed() > Duration::from_secs(28) {
            site.nodes.refuse_peers(false);
        }
        for (node, user) in users.iter_mut().enumerate() {
            for job in &jobs {
                // For how long both replicas have run without a break, at the time of the question.
                let ran_s = site.fleet.all_run_for(&job.id, job.tasks).unwrap_or(0.0);
                let status = user.status(&job.id);
                answers += usize::from(!status.is_empty());
                if status == "pending" && ran_s > MAX_LAG_S {
                    wrong += 1;
                    longest[node] = longest[node].max(ran_s);
                    record.line(&format!(
                        "{}: {} is called pending; its replicas have run for {ran_s:.1} s",
                        site.nodes.nodes[node].label, job.id
                    ));
                }
            }
        }
        pause(1.0);
    }
    record.say(&format!(
        "{wrong} of {answers} answers called a service pending whose replicas had run for over 3 s; the longest at each \
         controller: {longest:.1?} s"
    ));
    site.stop();
    Some(wrong > 0)
}

/// The cloud lists a second type some time after the controllers have started, and then the leader crashes.
fn new_type(root: &Path, record: Record, trouble: bool) -> Option<bool> {
    let mut plan = Plan::veloteka();
    plan.types.push(MachineType {
        name: "bighat32".into(),
        cpus: 32.0,
        ram_gb: 128.0,
        pull_gb_per_s: 0.3,
        gpus: 0.0,
        hourly: 2.05,
        ready_s: 25.0,
        up_per_zone: 0,
        available: 1,
    });
    plan.listed_types = Some(1);
    let site = plan.start(root, record.clone())?;
    let leader = site.leader()?;
    let mut user = site.user(leader);
    // A replica on each machine of the first type, which leaves 4 CPUs there.
    let mut shop = Job::array(100, "dealer-shop", "uebt", 6, 12.0, 15.0, 0.0);
    (shop.standing, shop.urgency, shop.apart) = (true, "critical", true);
    submit(&site, &mut user, &shop)?;
    // By then all controllers have the answers to what they asked of the cloud as they started.
    pause(16.0);
    record.say("the cloud lists a second type");
    site.fleet.list_types(2);
    // The leader asks for the types every 30 s.
    pause(31.0);
    let mut large = Job::array(200, "stock-recount", "ceni", 2, 4.0, 14.0, 300.0);
    large.builds = Some(vec!["bighat32".into()]);
    submit(&site, &mut user, &large)?;
    pause(8.0);
    if site.fleet.tasks_of(&large.id).0 != 2 {
        record.say("the machine of the second type has no work");
        return None;
    }
    if trouble {
        record.say(&format!("{} crashes", site.nodes.nodes[leader].label));
        site.nodes.kill(leader);
        pause(5.0);
        site.nodes.start(leader).ok()?;
    }
    pause(5.0);
    let mut small = Job::array(300, "stock-recount", "sklad", 1, 8.0, 14.0, 60.0);
    small.builds = Some(vec!["rila16".into()]);
    submit(&site, &mut site.user((leader + 1) % 3), &small)?;
    pause(20.0);
    let broken = site.fleet.broken();
    record.say(&format!(
        "{}: {:?} tasks on machines, starts, completed; {broken:?}",
        small.id,
        site.fleet.tasks_of(&small.id)
    ));
    site.stop();
    Some(broken.iter().any(|text| text.starts_with("wrong_place")))
}
