//! Two jobs with a mistake fail on a sound machine that also runs replicas, and are cancelled. A later job waits
//! although that machine has room.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use serde_json::{Value, json};

use crate::{
    Outcome, Place,
    store::{Limits, StateService},
    world::*,
};

/// How long a job may be left waiting once the troubles are over, in seconds.
const LONGEST_WAIT_S: f64 = 90.0;

/// Replicas of the shop in one zone.
fn shop(number: u32, yard: &str, replicas: u32) -> JobSpec {
    let body = json!({"id": format!("j-{number:06}"), "lane": "dealer-shop", "crew": "uebt",
        "shape": "standing", "urgency": "critical", "pieces": replicas, "cpus": 4.0, "gpus": 0.0,
        "ram_gb": 15.0, "kit": "img-shop", "size_gb": 0.6, "builds": null, "yard": yard, "together": false,
        "apart": false, "loaners": false, "guess_s": 0.0, "bookmark_s": 0.0, "stash_s": 0.0, "due_s": null});
    JobSpec {
        body,
        run_s: 0.0,
        fails: false,
    }
}

fn recount(number: u32, tasks: u32, run_s: f64, fails: bool) -> JobSpec {
    let body = json!({"id": format!("j-{number:06}"), "lane": "stock-recount", "crew": "ceni",
        "shape": "array", "urgency": "high", "pieces": tasks, "cpus": 4.0, "gpus": 0.0,
        "ram_gb": 14.0, "kit": "img-recount", "size_gb": 0.3, "builds": null, "yard": null, "together": false,
        "apart": false, "loaners": true, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0, "due_s": null});
    JobSpec { body, run_s, fails }
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
        teams: json!([
            {"name": "sklad", "cpus": 168.0, "cpus_max": 672.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "ceni", "cpus": 200.0, "cpus_max": 672.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "uebt", "cpus": 112.0, "cpus_max": 336.0, "gpus": 0.0, "gpus_max": 0.0}]),
        objectives: json!([
            {"kind": "wait", "class": "stock-recount", "within_s": 20.0, "share": 0.9},
            {"kind": "wait", "class": "stock-recount", "within_s": 60.0, "share": 0.9},
            {"kind": "finished", "class": "stock-recount", "within_s": 180.0, "share": 0.9},
            {"kind": "wait", "class": "dealer-shop", "within_s": 3.0, "share": 0.88},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.92}]),
        limits,
        next: None,
    };
    let workers: Rc<RefCell<Vec<Rc<Worker>>>> = Rc::default();
    let mut controllers = start_controllers(&world, &deployment, &state_addrs, |named| {
        for (index, zone) in zones.iter().enumerate() {
            let worker = Worker::start(&world, index, &rila16, zone, named.to_vec());
            workers.borrow_mut().push(worker);
        }
        start_cloud(&world, vec![rila16.clone()], zones.clone(), workers.clone())
    });
    let nodes: Vec<SocketAddr> = controllers.iter().map(|each| each.listen).collect();
    if !wait_ready(&nodes).await {
        return Outcome::CouldNotRun("the controllers are not ready".into());
    }
    // The machines of the first two zones are full, the third has room for two tasks of a recount.
    for (number, zone, replicas) in [(1, 0, 4), (2, 1, 4), (3, 2, 2)] {
        let status = submit(&world, &nodes, shop(number, &zones[zone], replicas)).await;
        if status != Some(201) {
            return Outcome::CouldNotRun(format!("a service was answered with {status:?}"));
        }
    }
    let replicas =
        || -> Vec<usize> { workers.borrow().iter().map(|each| each.running()).collect() };
    while replicas() != [4, 4, 2] {
        if world.now_s() > 15.0 {
            return Outcome::CouldNotRun(format!("replicas that run: {:?}", replicas()));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    world.log("ten replicas run; machine 2 has room for two tasks of 4 CPUs");
    if place.trouble {
        for number in [11, 12] {
            let (world, nodes) = (world.clone(), nodes.clone());
            tokio::task::spawn_local(async move {
                submit(&world, &nodes, recount(number, 1, 0.2, true)).await;
            });
        }
        let failed = || {
            let events = world.events.borrow();
            let of = |job: &str| {
                events
                    .iter()
                    .any(|e| e.piece.starts_with(job) && e.what == "error")
            };
            of("j-000011") && of("j-000012")
        };
        let until_s = world.now_s() + 20.0;
        while !failed() && world.now_s() < until_s {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        for id in ["j-000011", "j-000012"] {
            cancel(&world, &nodes, id).await;
        }
        world.log("both jobs with a mistake are cancelled: the troubles are over");
    }
    let over_s = world.now_s();
    let status = submit(&world, &nodes, recount(21, 2, 10.0, false)).await;
    if status != Some(201) {
        return Outcome::CouldNotRun(format!("the later job was answered with {status:?}"));
    }
    let began = || {
        let events = world.events.borrow();
        let runs = events
            .iter()
            .find(|e| e.piece.starts_with("j-000021") && e.what == "runs");
        runs.map(|e| e.at_s)
    };
    let machine = workers.borrow()[2].clone();
    let mut had_room = true;
    let mut told_s = 0.0;
    while began().is_none() && world.now_s() < over_s + LONGEST_WAIT_S + 3.0 {
        let (cpus, ram_gb) = machine.free();
        had_room &=
            cpus >= 4.0 && ram_gb >= 14.0 && !machine.deleted.get() && machine.expired.get() == 0;
        if world.now_s() >= told_s + 5.0 {
            told_s = world.now_s();
            let answer = poll(nodes[0], "j-000021").await;
            let view = answer.map_or(Value::Null, |(_, body)| body);
            world.log(format!(
                "machine 2 has {cpus} CPUs and {ram_gb} GB left, {} tasks run there; poll: {view}",
                machine.running()
            ));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    if let Some(status) = controllers.iter_mut().find_map(|each| each.ended()) {
        return Outcome::CouldNotRun(format!("a controller ended by itself: {status}"));
    }
    let began = began();
    world.log(format!(
        "the later job was submitted at {over_s:.1} s and began at {began:?}; machine 2 had room all the time: {had_room}; \
         the state service refused {} requests, leader {:?}",
        state.refused(),
        state.leader()
    ));
    match began {
        Some(_) => Outcome::Held,
        None if had_room => Outcome::Broken,
        None => Outcome::CouldNotRun("machine 2 had no room".into()),
    }
}
