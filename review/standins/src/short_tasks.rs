//! Short tasks of a class come three times as often: ended tasks stay in a worker's reports until they are reaped.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use serde_json::{Value, json};

use crate::{
    Outcome, Place,
    store::{Limits, StateService},
    world::*,
};

const ARRAYS_PER_S: f64 = 1.0;
const TASKS_PER_ARRAY: u32 = 25;
const FACTOR: f64 = 3.0;
const BURST_S: (f64, f64) = (15.0, 75.0);
const END_S: f64 = 95.0;

fn array(number: u32) -> JobSpec {
    let body = json!({"id": format!("j-{:06}", 1000 + number), "lane": "cover-tests", "crew": "ingest",
        "shape": "array", "urgency": "standard", "pieces": TASKS_PER_ARRAY, "cpus": 0.25, "gpus": 0.0,
        "ram_gb": 0.5, "kit": "img-01", "size_gb": 0.5, "builds": null, "yard": null, "together": false,
        "apart": false, "loaners": true, "guess_s": 1.0, "bookmark_s": 0.0, "stash_s": 0.0, "due_s": null});
    JobSpec {
        body,
        run_s: 1.0,
        fails: false,
    }
}

fn service(number: u32) -> JobSpec {
    let body = json!({"id": format!("j-{number:06}"), "lane": "reader-front", "crew": "platform",
        "shape": "standing", "urgency": "critical", "pieces": 5, "cpus": 1.0, "gpus": 0.0,
        "ram_gb": 2.1, "kit": "img-02", "size_gb": 0.6, "builds": null, "yard": null, "together": false,
        "apart": true, "loaners": false, "guess_s": 0.0, "bookmark_s": 0.0, "stash_s": 0.0, "due_s": null});
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
        rps: 200.0,
        write_rps: 80.0,
        value_kb: 16.0,
        txn_ops: 24,
        latency_ms: 3,
    };
    let (state, state_addrs) = StateService::start(limits, 3);
    let zones = vec!["kolkata-1".to_owned(), "dhaka-1".to_owned()];
    let bighat32 = MachineType {
        sku: "bighat32",
        cpus: 32.0,
        ram_gb: 128.0,
        pull_gb_per_s: 0.5,
    };
    let deployment = Deployment {
        root: place.root.clone(),
        folder: place.temp.clone(),
        zones: zones.clone(),
        nodes: vec![zones[0].clone(), zones[1].clone(), zones[0].clone()],
        teams: json!([{"name": "platform", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "ingest", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]),
        objectives: json!([{"kind": "wait", "class": "reader-front", "within_s": 1.0, "share": 0.95}]),
        limits,
        next: None,
    };
    let workers: Rc<RefCell<Vec<Rc<Worker>>>> = Rc::default();
    let mut controllers = start_controllers(&world, &deployment, &state_addrs, |named| {
        for index in 0..4 {
            let zone = &zones[index % zones.len()];
            let worker = Worker::start(&world, index, &bighat32, zone, named.to_vec());
            workers.borrow_mut().push(worker);
        }
        start_cloud(
            &world,
            vec![bighat32.clone()],
            zones.clone(),
            workers.clone(),
        )
    });
    let nodes: Vec<SocketAddr> = controllers.iter().map(|each| each.listen).collect();
    if !wait_ready(&nodes).await {
        return Outcome::CouldNotRun("the controllers are not ready".into());
    }
    for number in 1..=3 {
        let status = submit(&world, &nodes, service(number)).await;
        if status != Some(201) {
            return Outcome::CouldNotRun(format!("a service was answered with {status:?}"));
        }
    }
    world.log("three services of five replicas are accepted");
    let (mut number, mut due_s) = (0, world.now_s() + 2.0);
    let mut told_s = 0.0;
    while world.now_s() < END_S {
        let now_s = world.now_s();
        if now_s >= due_s && now_s < END_S - 8.0 {
            number += 1;
            let (world, nodes) = (world.clone(), nodes.clone());
            tokio::task::spawn_local(async move { submit(&world, &nodes, array(number)).await });
            let burst = place.trouble && (BURST_S.0..BURST_S.1).contains(&now_s);
            due_s += 1.0 / (ARRAYS_PER_S * if burst { FACTOR } else { 1.0 });
        }
        if now_s >= told_s + 2.0 {
            told_s = now_s;
            for worker in workers.borrow().iter() {
                world.log(format!(
                    "machine {}: {} running, {} listed, largest report {} bytes, {} leases expired",
                    worker.index,
                    worker.running(),
                    worker.listed_tasks(),
                    worker.largest_report.get(),
                    worker.expired.get()
                ));
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut answers: Vec<Value> = Vec::new();
    for number in 1..=3 {
        let answer = poll(nodes[0], &format!("j-{number:06}")).await;
        answers.push(json!(answer.map(|(status, body)| (status, body))));
    }
    world.log(format!("polls of the services: {answers:?}"));
    for controller in &mut controllers {
        if let Some(status) = controller.ended() {
            world.log(format!("{} ended by itself: {status}", controller.label));
        }
    }
    let events = world.events.borrow();
    let is_replica = |piece: &str| piece.starts_with("j-0000");
    let replicas_ran = events
        .iter()
        .filter(|e| is_replica(&e.piece) && e.what == "runs")
        .count();
    let lost: Vec<_> = events
        .iter()
        .filter(|e| e.what == "killed as the lease expired")
        .collect();
    let lost_replicas = lost.iter().filter(|e| is_replica(&e.piece)).count();
    let done = events.iter().filter(|e| e.what == "done").count();
    world.log(format!(
        "{replicas_ran} replicas began, {lost_replicas} were killed as a lease expired; {done} tasks of arrays are done, \
         {} were killed as a lease expired; the state service refused {} requests; leader {:?}",
        lost.len() - lost_replicas, state.refused(), state.leader()
    ));
    if replicas_ran < 15 || done < 500 {
        return Outcome::CouldNotRun("too little ran".into());
    }
    if lost.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
