//! The leader ends while a service runs: polls at the other controllers say that none of its tasks runs.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde_json::json;

use crate::{
    Outcome, Place,
    store::{Limits, StateService},
    world::*,
};

const SERVICES: u32 = 6;
/// By how much the state of a job may lag, in seconds.
const LAG_S: f64 = 3.0;
/// When the leader ends, when it is started again, and when the case ends.
const CRASH_S: f64 = 20.0;
const BACK_AFTER_S: f64 = 5.0;
const END_S: f64 = 55.0;

fn shop(number: u32) -> JobSpec {
    let body = json!({"id": format!("j-{number:06}"), "lane": "dealer-shop", "crew": "uebt",
        "shape": "standing", "urgency": "critical", "pieces": 1, "cpus": 4.0, "gpus": 0.0,
        "ram_gb": 15.0, "kit": "img-shop", "size_gb": 0.6, "builds": null, "yard": null, "together": false,
        "apart": false, "loaners": false, "guess_s": 0.0, "bookmark_s": 0.0, "stash_s": 0.0, "due_s": null});
    JobSpec {
        body,
        run_s: 0.0,
        fails: false,
    }
}

pub async fn run(place: Place) -> Outcome {
    let times = Times {
        report_s: 2.5,
        lease_s: 14.0,
        cancel_s: 34.0,
    };
    let world = World::new(times, place.case.join("record.txt"));
    let limits = Limits {
        rps: 150.0,
        write_rps: 60.0,
        value_kb: 16.0,
        txn_ops: 48,
        latency_ms: 3,
    };
    let (state, state_addrs) = StateService::start(limits, 3);
    let zones: Vec<String> = ["sofia-a", "sofia-b", "frankfurt-c"]
        .map(str::to_owned)
        .to_vec();
    let rila16 = MachineType {
        sku: "rila16",
        cpus: 16.0,
        ram_gb: 64.0,
        pull_gb_per_s: 0.3,
    };
    let deployment = Deployment {
        root: place.root.clone(),
        folder: place.temp.clone(),
        zones: zones.clone(),
        nodes: zones.clone(),
        teams: json!([{"name": "uebt", "cpus": 112.0, "cpus_max": 336.0, "gpus": 0.0, "gpus_max": 0.0}]),
        objectives: json!([{"kind": "wait", "class": "dealer-shop", "within_s": 3.0, "share": 0.88}]),
        limits,
        next: None,
    };
    let workers: Rc<RefCell<Vec<Rc<Worker>>>> = Rc::default();
    let mut controllers = start_controllers(&world, &deployment, &state_addrs, |named| {
        for index in 0..6 {
            let zone = &zones[index % zones.len()];
            let worker = Worker::start(&world, index, &rila16, zone, named.to_vec());
            workers.borrow_mut().push(worker);
        }
        start_cloud(&world, vec![rila16.clone()], zones.clone(), workers.clone())
    });
    let nodes: Vec<SocketAddr> = controllers.iter().map(|each| each.listen).collect();
    if !wait_ready(&nodes).await {
        return Outcome::CouldNotRun("the controllers are not ready".into());
    }
    for number in 1..=SERVICES {
        let status = submit(&world, &nodes, shop(number)).await;
        if status != Some(201) {
            return Outcome::CouldNotRun(format!("a service was answered with {status:?}"));
        }
    }
    let running = {
        let workers = workers.clone();
        move || -> usize { workers.borrow().iter().map(|each| each.running()).sum() }
    };
    while running() < SERVICES as usize {
        if world.now_s() > 15.0 {
            return Outcome::CouldNotRun("the replicas do not run".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let all_run_since = world.now_s();
    world.log("the replica of each service runs");
    // The service that came last has to run for longer than a state may lag.
    let wrong = Rc::new(Cell::new(0));
    let answers = Rc::new(Cell::new(0));
    for (node, addr) in nodes.iter().copied().enumerate() {
        let (world, wrong, answers) = (world.clone(), wrong.clone(), answers.clone());
        tokio::task::spawn_local(async move {
            let mut number = 0;
            loop {
                tokio::time::sleep(Duration::from_millis(80)).await;
                number = number % SERVICES + 1;
                let asked_s = world.now_s();
                let Some((200, view)) = poll(addr, &format!("j-{number:06}")).await else {
                    world.log(format!("poll at node {node}: no state"));
                    continue;
                };
                answers.set(answers.get() + 1);
                // All replicas ran at each moment from `all_run_since` to now: so says the check at the end.
                let is_wrong = asked_s >= all_run_since + LAG_S && view["status"] != "running";
                let mark = if is_wrong { " WRONG" } else { "" };
                wrong.set(wrong.get() + i32::from(is_wrong));
                world.log(format!("poll at node {node}: {view}{mark}"));
            }
        });
    }
    let (mut crashed, mut back) = (None, false);
    while world.now_s() < END_S {
        if place.trouble && crashed.is_none() && world.now_s() >= CRASH_S {
            let label = state.leader();
            let leader = controllers
                .iter_mut()
                .position(|each| Some(&each.label) == label.as_ref());
            let Some(leader) = leader else {
                return Outcome::CouldNotRun("no leader".into());
            };
            controllers[leader].kill();
            world.log(format!("{} led and is killed", controllers[leader].label));
            crashed = Some(leader);
        }
        if let Some(leader) = crashed
            && !back
            && world.now_s() >= CRASH_S + BACK_AFTER_S
        {
            back = true;
            controllers[leader].start();
            world.log(format!("{} is started again", controllers[leader].label));
        }
        if running() < SERVICES as usize {
            return Outcome::CouldNotRun("a replica ended".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let ended = world
        .events
        .borrow()
        .iter()
        .filter(|e| e.what != "runs")
        .count();
    world.log(format!(
        "{} answers, {} of them wrong; all replicas ran since {all_run_since:.1} s, {ended} ended",
        answers.get(),
        wrong.get()
    ));
    match (ended, wrong.get()) {
        (0, 0) => Outcome::Held,
        (0, _) => Outcome::Broken,
        _ => Outcome::CouldNotRun("a replica ended".into()),
    }
}
