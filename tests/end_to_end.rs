//! Real processes on loopback, with emulators of the state service, the cloud and a worker.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dalelb::{
    protocol::{self, ids::TaskId, job::JobStatus, job::JobView},
    transport::client::{HttpClient, HttpRequest},
};
use dalelb_emulators::{
    cloud_emulator::{CloudEmulator, machine_type},
    responses::bind_any_port,
    state_service::{ServiceRates, StateServiceEmulator},
    state_store::StoreLimits,
    worker_emulator::{TaskEvent, TaskModel, TaskSpec},
    worker_fleet::{WorkerFleet, WorkerFleetSettings},
};
use http::Method;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

/// Upper bound for each awaited condition; all take far less.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Run time of every task.
const TASK_DURATION_MS: u64 = 300;

struct FixedDurationTasks;

impl TaskModel for FixedDurationTasks {
    fn describe(&self, _: TaskId) -> Option<TaskSpec> {
        Some(TaskSpec {
            cpus: 1.0,
            run_ms: Some(TASK_DURATION_MS),
        })
    }

    fn on_task_event(&self, _: &str, _: TaskId, _: TaskEvent) {}
}

fn start_state_service() -> SocketAddr {
    let limits = StoreLimits {
        txn_ops: 24,
        value_kb: 16.0,
    };
    let (listener, addr) = bind_any_port();
    StateServiceEmulator::start(listener, limits, ServiceRates::UNLIMITED);
    addr
}

fn start_cloud(fleet: &WorkerFleet) -> SocketAddr {
    let (listener, addr) = bind_any_port();
    let machine_type = machine_type(8.0, 32.0, &["a".to_owned()]);
    CloudEmulator::start(listener, machine_type, fleet.listed_machines(), |_| {});
    addr
}

fn start_worker(nodes: Vec<(String, SocketAddr)>) -> WorkerFleet {
    let settings = WorkerFleetSettings {
        workers: 1,
        subnet: 10,
        port: 0,
        cpus: 8.0,
        zones: vec!["a".into()],
        controllers: nodes,
        report_interval: Duration::from_millis(300),
        lease_ttl: Duration::from_secs(14),
    };
    WorkerFleet::start(settings, Arc::new(FixedDurationTasks)).expect("a free port")
}

fn free_port() -> u16 {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address").port()
}

fn settings_file(ports: (u16, u16)) -> std::path::PathBuf {
    let name = format!("dalelb-e2e-{}-{}.json", std::process::id(), ports.0);
    std::env::temp_dir().join(name)
}

fn start_node(index: usize, ports: &[(u16, u16)], state: SocketAddr, cloud: SocketAddr) -> Child {
    let members: Vec<Value> = (0..ports.len())
        .filter(|other| *other != index)
        .map(|other| {
            json!({"label": format!("n{other}"), "domain": "a",
                   "address": format!("127.0.0.1:{}", ports[other].1)})
        })
        .collect();
    let settings = json!({
        "label": format!("n{index}"), "domain": "a", "members": members,
        "listen": format!("127.0.0.1:{}", ports[index].0),
        "mesh_addr": format!("127.0.0.1:{}", ports[index].1),
        "services": {"cloud": cloud.to_string(), "state": state.to_string()},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}],
            "workers": {"report_s": 0.3, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0}
        }
    });
    let path = settings_file(ports[index]);
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    Command::new(env!("CARGO_BIN_EXE_dalelb"))
        .args(["serve", "--log-level", "warn", "--config"])
        .arg(path)
        .kill_on_drop(true)
        .spawn()
        .expect("the program runs")
}

async fn wait_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The body of a submission without dependencies; `kind` is its value on the wire.
fn job(id: &str, kind: &str, team: &str) -> Vec<u8> {
    dependent_job(id, kind, team, &[])
}

fn dependent_job(id: &str, kind: &str, team: &str, dependencies: &[&str]) -> Vec<u8> {
    protocol::encode(
        &json!({"id": id, "awaits": dependencies, "lane": "any", "crew": team, "shape": kind,
        "urgency": "high", "pieces": 5, "cpus": 1.0, "gpus": 0.0, "ram_gb": 1.0, "kit": "img",
        "size_gb": 0.1, "together": false, "apart": false, "loaners": false, "guess_s": 1.0,
        "bookmark_s": 0.0, "stash_s": 0.0}),
    )
}

#[tokio::test]
async fn jobs_complete_across_leader_failover() {
    tokio::task::LocalSet::new()
        .run_until(run_full_scenario())
        .await;
}

#[expect(clippy::too_many_lines, reason = "still to be split")]
async fn run_full_scenario() {
    let ports: Vec<(u16, u16)> = (0..2).map(|_| (free_port(), free_port())).collect();
    let state = start_state_service();
    let addrs: Vec<SocketAddr> = ports
        .iter()
        .map(|(listen, _)| SocketAddr::from(([127, 0, 0, 1], *listen)))
        .collect();
    let named_addrs = addrs
        .iter()
        .enumerate()
        .map(|(i, addr)| (format!("n{i}"), *addr));
    let cloud = start_cloud(&start_worker(named_addrs.collect()));
    let mut first = start_node(0, &ports, state, cloud);
    let http = Rc::new(HttpClient::new(1, Duration::from_secs(30), false));
    let call = |method: Method, to: usize, path: String, body: Vec<u8>| {
        let (http, addr) = (http.clone(), addrs[to].to_string());
        async move {
            let request = HttpRequest { method, path, body };
            http.call(&addr, request, true, Duration::from_secs(5))
                .await
        }
    };
    let ready = |to: usize| {
        let response = call(Method::GET, to, "/ready".into(), Vec::new());
        async move { response.await.filter(|response| response.status == 200) }
    };
    wait_until("the first node is ready", || ready(0)).await;
    let _second = start_node(1, &ports, state, cloud);
    wait_until("the second node is ready", || ready(1)).await;
    let submit = |to: usize, body: Vec<u8>, status: u16| {
        let response = call(Method::POST, to, "/v2/runs".into(), body);
        async move { response.await.filter(|response| response.status == status) }
    };
    let ended = |to: usize, id: &str, status: JobStatus| {
        let response = call(Method::GET, to, format!("/v2/runs/{id}"), Vec::new());
        async move {
            let response = response.await.filter(|response| response.status == 200)?;
            let view: JobView = protocol::decode(&response.body).ok()?;
            (view.status == status).then_some(())
        }
    };

    wait_until("accepted", || {
        submit(0, job("j-000001", "array", "red"), 201)
    })
    .await;
    wait_until("the second node has read the job", || {
        submit(1, job("j-000001", "array", "red"), 200)
    })
    .await;
    wait_until("done", || ended(1, "j-000001", JobStatus::Done)).await;
    wait_until("rejected because of its team", || {
        submit(1, job("j-000002", "array", "green"), 422)
    })
    .await;
    wait_until("rejected as malformed", || {
        submit(0, b"nonsense".to_vec(), 400)
    })
    .await;
    let mut large = job("j-000003", "array", "red");
    large.resize(70_000, 0);
    wait_until("rejected because of its size", || {
        submit(0, large.clone(), 400)
    })
    .await;
    for path in ["/v2/runs/j-999999", "/v2/runs/odd", "/nowhere"] {
        let response = call(Method::GET, 1, path.into(), Vec::new()).await;
        assert_eq!(
            response.map(|response| response.status),
            Some(404),
            "{path}"
        );
    }

    wait_until("a service accepted", || {
        submit(1, job("j-000004", "standing", "red"), 201)
    })
    .await;
    wait_until("a service runs", || {
        ended(0, "j-000004", JobStatus::Running)
    })
    .await;
    let cancel = || {
        let response = call(
            Method::POST,
            1,
            "/v2/runs/j-000004/abort".into(),
            Vec::new(),
        );
        async move { response.await.filter(|response| response.status == 200) }
    };
    wait_until("cancelled", cancel).await;
    wait_until("cancelled everywhere", || {
        ended(0, "j-000004", JobStatus::Cancelled)
    })
    .await;

    // Jobs with dependencies run in order. A cancellation is propagated to the dependents of a job, including one that
    // is submitted later.
    for (id, awaits) in [
        ("j-000010", &["j-000001"][..]),
        ("j-000011", &["j-000010", "j-000001"]),
        ("j-000012", &["j-000011"]),
    ] {
        wait_until("a dependent job accepted", || {
            submit(1, dependent_job(id, "array", "red", awaits), 201)
        })
        .await;
    }
    wait_until("the last dependent job is done", || {
        ended(0, "j-000012", JobStatus::Done)
    })
    .await;
    for unknown in ["j-000999", "j-000013"] {
        wait_until("rejected because of an unknown dependency", || {
            submit(
                0,
                dependent_job("j-000013", "array", "red", &[unknown]),
                422,
            )
        })
        .await;
    }
    wait_until("a service accepted", || {
        submit(0, job("j-000014", "standing", "red"), 201)
    })
    .await;
    wait_until("rejected because it depends on a service", || {
        submit(
            1,
            dependent_job("j-000015", "array", "red", &["j-000014"]),
            422,
        )
    })
    .await;
    let cancel = |id: &'static str| {
        let path = format!("/v2/runs/{id}/abort");
        let response = call(Method::POST, 1, path, Vec::new());
        async move { response.await.filter(|response| response.status == 200) }
    };
    wait_until("the service cancelled", || cancel("j-000014")).await;
    for (id, awaits) in [("j-000015", "j-000014"), ("j-000016", "j-000015")] {
        wait_until("a dependent of a cancelled job accepted", || {
            submit(1, dependent_job(id, "array", "red", &[awaits]), 201)
        })
        .await;
        wait_until("cancelled with its dependency", || {
            ended(0, id, JobStatus::Cancelled)
        })
        .await;
    }

    // Metrics of the leader: it leads, tasks have started, its entitlement has time left, a machine is up.
    wait_until("metrics", || {
        let response = call(Method::GET, 0, "/metrics".into(), Vec::new());
        async move {
            let text = String::from_utf8(response.await?.body.to_vec()).ok()?;
            let value = |name: &str| -> Option<f64> {
                let mut lines = text.lines();
                lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
            };
            assert!(text.ends_with("# EOF\n"), "{text}");
            (value("dalelb_leading")? == 1.0).then_some(())?;
            (value("dalelb_start_wait_seconds_count")? >= 3.0).then_some(())?;
            (value("dalelb_entitlement_seconds")? > 0.0).then_some(())?;
            (value("dalelb_machines{state=\"up\"}")? >= 1.0).then_some(())
        }
    })
    .await;

    // Both nodes apply the leader's admission quotas, each with a share of the total.
    for index in 0..2 {
        wait_until("admission quotas", || {
            let response = call(Method::GET, index, "/metrics".into(), Vec::new());
            async move {
                let text = String::from_utf8(response.await?.body.to_vec()).ok()?;
                let value = |name: &str| -> Option<f64> {
                    let mut lines = text.lines();
                    lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
                };
                (value("dalelb_admission_table")? >= 1.0).then_some(())?;
                (value("dalelb_admission_part")? > 0.0).then_some(())
            }
        })
        .await;
    }

    first
        .kill()
        .await
        .expect("the leading first node is killed");
    wait_until("accepted after the failover", || {
        submit(1, job("j-000005", "array", "red"), 201)
    })
    .await;
    wait_until("done after the failover", || {
        ended(1, "j-000005", JobStatus::Done)
    })
    .await;
    wait_until("still done", || ended(1, "j-000001", JobStatus::Done)).await;
    for ports in ports {
        let _ = std::fs::remove_file(settings_file(ports));
    }
}

#[tokio::test]
async fn restarted_processes_rejoin_immediately() {
    tokio::task::LocalSet::new()
        .run_until(run_restart_scenario())
        .await;
}

/// Processes are killed under load and restarted 50 ms later, one by one and both together. Guards against a
/// restarted process that can't bind its address, because connections that were not closed still use it, and
/// against accepted jobs that are lost.
#[expect(clippy::too_many_lines, reason = "still to be split")]
async fn run_restart_scenario() {
    const USERS: usize = 24;
    let ports: Vec<(u16, u16)> = (0..2).map(|_| (free_port(), free_port())).collect();
    let state = start_state_service();
    let addrs: Vec<SocketAddr> = ports
        .iter()
        .map(|(listen, _)| SocketAddr::from(([127, 0, 0, 1], *listen)))
        .collect();
    let named_addrs = addrs
        .iter()
        .enumerate()
        .map(|(i, addr)| (format!("n{i}"), *addr));
    let cloud = start_cloud(&start_worker(named_addrs.collect()));
    let mut nodes: Vec<Child> = (0..2)
        .map(|index| start_node(index, &ports, state, cloud))
        .collect();
    let ready = |to: usize| {
        let addr = addrs[to].to_string();
        async move {
            let http = HttpClient::new(0, Duration::from_secs(1), false);
            let timeout = Duration::from_secs(1);
            let response = http
                .call(&addr, HttpRequest::get("/ready"), false, timeout)
                .await;
            response.filter(|response| response.status == 200)
        }
    };
    for index in 0..2 {
        wait_until("a node is ready", || ready(index)).await;
    }
    let accepted = Rc::new(std::cell::RefCell::new(Vec::new()));
    let stopped = Rc::new(std::cell::Cell::new(false));
    let mut users = Vec::new();
    for user in 0..USERS {
        let (accepted, stopped, addrs) = (accepted.clone(), stopped.clone(), addrs.clone());
        users.push(tokio::task::spawn_local(async move {
            let http = HttpClient::new(1, Duration::from_secs(30), false);
            let mut number = 0;
            while !stopped.get() {
                let id = format!("j-{:06}", user * 1000 + number);
                let addr = addrs[(user + number) % 2].to_string();
                let body = job(&id, "array", "red");
                let timeout = Duration::from_secs(5);
                let request = HttpRequest::post("/v2/runs", body);
                let response = http.call(&addr, request, true, timeout).await;
                if response.is_some_and(|response| matches!(response.status, 200 | 201)) {
                    accepted.borrow_mut().push(id);
                    number += 1;
                }
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        }));
    }
    for (round, killed) in [&[0][..], &[0], &[1], &[0, 1], &[1, 0], &[0]]
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for &index in killed {
            nodes[index].kill().await.expect("a node is killed");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        for &index in killed {
            nodes[index] = start_node(index, &ports, state, cloud);
        }
        let started_at = Instant::now();
        for &index in killed {
            wait_until("ready again", || ready(index)).await;
        }
        let took = started_at.elapsed();
        assert!(
            took < Duration::from_secs(5),
            "round {round}: restart took {took:?}"
        );
    }
    stopped.set(true);
    for user in users {
        user.await.expect("the user task ends");
    }
    let accepted = accepted.take();
    assert!(
        accepted.len() > USERS,
        "only {} jobs accepted",
        accepted.len()
    );
    let http = Rc::new(HttpClient::new(1, Duration::from_secs(30), false));
    // The controller must return the status of all accepted jobs. One machine needs long for all of them, so
    // completion is awaited for the first 20 only.
    for (number, id) in accepted.into_iter().enumerate() {
        wait_until("done (first 20) or known", || {
            let (http, addr, path) = (http.clone(), addrs[1].to_string(), format!("/v2/runs/{id}"));
            async move {
                let timeout = Duration::from_secs(5);
                let response = http
                    .call(&addr, HttpRequest::get(path), true, timeout)
                    .await?;
                assert_ne!(response.status, 404, "an accepted job is lost");
                let view: JobView = protocol::decode(&response.body)
                    .ok()
                    .filter(|_| response.status == 200)?;
                (number >= 20 || view.status == JobStatus::Done).then_some(())
            }
        })
        .await;
    }
    for ports in ports {
        let _ = std::fs::remove_file(settings_file(ports));
    }
}
