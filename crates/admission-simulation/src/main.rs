//! Simulates four strategies by which three nodes share the rate of submissions that the state service accepts: a
//! fixed split, additive increase and multiplicative decrease by each node alone, blocks of tokens taken by
//! compare-and-swap, and the admission quotas that the leader of the daemon stores. `docs/admission.md` has the
//! figures.
//!
//! Time advances in steps of 100 ms. Users whose submissions are deferred retry after 2 to 4 s, for 60 s in total.

use std::collections::{BTreeMap, VecDeque};

use dalelb::coordination::admission::quotas::{
    self, NodeDemand, QUOTAS_SETTLE_MS, QuotaFollower, WorkloadClassName,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const NODE_COUNT: usize = 3;
const CLASS_COUNT: usize = 5;
/// Submissions a second that the state service accepts.
const TOTAL_RATE_PER_S: f64 = 60.0;
const STEP_MS: u64 = 100;
const DURATION_MS: u64 = 240_000;
/// How long after the first attempt a user retries.
const RETRY_WINDOW_MS: u64 = 60_000;

/// A user whose submission has not been admitted yet.
#[derive(Clone, Copy)]
struct WaitingUser {
    class: usize,
    first_tried_at_ms: u64,
}

/// The arrival rate of a class at a node, in submissions a second. `now`: milliseconds since the start.
type Arrivals = fn(class: usize, node: usize, now: u64) -> f64;

/// Four calm classes of 1.2 submissions a second each, which the load balancer spreads evenly over the nodes.
fn calm_arrivals(class: usize, _: usize, _: u64) -> f64 {
    if class > 0 { 0.4 } else { 0.0 }
}

/// Class 0 floods one node.
fn one_node_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let is_flood = class == 0 && node == 0 && (60_000..150_000).contains(&now);
    if is_flood {
        200.0
    } else {
        calm_arrivals(class, node, now)
    }
}

/// Class 0 floods all nodes.
fn all_nodes_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let is_flood = class == 0 && (60_000..150_000).contains(&now);
    if is_flood {
        60.0
    } else {
        calm_arrivals(class, node, now)
    }
}

/// Two classes flood: class 0 floods all nodes, class 1 only one of them.
fn two_class_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let is_flood = (60_000..150_000).contains(&now);
    match class {
        0 if is_flood => 60.0,
        1 if is_flood && node == 0 => 60.0,
        _ => calm_arrivals(class, node, now),
    }
}

/// A way to decide which submissions are admitted.
trait AdmissionStrategy {
    /// The name that is printed.
    fn name(&self) -> &'static str;
    /// Runs one step. Returns for each submission of each node whether it is admitted.
    ///
    /// `submissions`: for each node, the classes of the submissions, in order of arrival; `offline`: for each
    /// node, whether it can't reach the state service.
    fn step(&mut self, now: u64, submissions: &[Vec<usize>], offline: &[bool]) -> Vec<Vec<bool>>;
    /// The number of writes to the state service, without those of submissions.
    fn writes(&self) -> u64;
}

/// Each node admits a third of the total rate, in order of arrival.
struct EqualSplit {
    tokens: [f64; NODE_COUNT],
}

impl AdmissionStrategy for EqualSplit {
    fn name(&self) -> &'static str {
        "fixed split"
    }

    fn step(&mut self, _: u64, submissions: &[Vec<usize>], offline: &[bool]) -> Vec<Vec<bool>> {
        let rate = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let admit = |(node, node_submissions): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            *tokens = (*tokens + rate * STEP_MS as f64 / 1000.0).min(rate);
            node_submissions
                .iter()
                .map(|_| !offline[node] && try_take_token(tokens))
                .collect()
        };
        submissions.iter().enumerate().map(admit).collect()
    }

    fn writes(&self) -> u64 {
        0
    }
}

fn try_take_token(tokens: &mut f64) -> bool {
    let has_token = *tokens >= 1.0;
    if has_token {
        *tokens -= 1.0;
    }
    has_token
}

/// Each node increases its own rate by 1 submission a second every second, and halves it in each step in which the
/// state service does not accept all its submissions.
struct LocalAdaptive {
    rates: [f64; NODE_COUNT],
    tokens: [f64; NODE_COUNT],
    /// When the state service accepted submissions in the last second.
    recent_acceptances: VecDeque<u64>,
}

impl AdmissionStrategy for LocalAdaptive {
    fn name(&self) -> &'static str {
        "each alone"
    }

    fn step(&mut self, now: u64, submissions: &[Vec<usize>], offline: &[bool]) -> Vec<Vec<bool>> {
        while self
            .recent_acceptances
            .front()
            .is_some_and(|at| at + 1000 <= now)
        {
            self.recent_acceptances.pop_front();
        }
        let mut admitted_by_node = Vec::new();
        for (node, node_submissions) in submissions.iter().enumerate() {
            self.rates[node] += STEP_MS as f64 / 1000.0;
            let rate = self.rates[node];
            self.tokens[node] = (self.tokens[node] + rate * STEP_MS as f64 / 1000.0).min(rate);
            let mut admitted = Vec::new();
            let mut rejected = false;
            for _ in node_submissions {
                let has_token = try_take_token(&mut self.tokens[node]);
                let accepted = has_token
                    && !offline[node]
                    && (self.recent_acceptances.len() as f64) < TOTAL_RATE_PER_S;
                if accepted {
                    self.recent_acceptances.push_back(now);
                }
                rejected |= has_token && !accepted;
                admitted.push(accepted);
            }
            if rejected {
                self.rates[node] = (rate / 2.0).max(1.0);
            }
            admitted_by_node.push(admitted);
        }
        admitted_by_node
    }

    fn writes(&self) -> u64 {
        0
    }
}

/// Nodes take blocks of tokens from a shared key by compare-and-swap. The key is refilled at the total rate.
struct TokenBlockLeasing {
    pool: f64,
    tokens: [f64; NODE_COUNT],
    writes: u64,
}

/// The number of tokens that a node takes at a time, if the key holds that many.
const TOKENS_PER_BLOCK: f64 = 6.0;

impl AdmissionStrategy for TokenBlockLeasing {
    fn name(&self) -> &'static str {
        "credit blocks"
    }

    fn step(&mut self, now: u64, submissions: &[Vec<usize>], offline: &[bool]) -> Vec<Vec<bool>> {
        self.pool = (self.pool + TOTAL_RATE_PER_S * STEP_MS as f64 / 1000.0).min(TOTAL_RATE_PER_S);
        // Of the nodes that write at the same time one wins the compare-and-swap; the others retry in the next step.
        let writers = (0..NODE_COUNT).filter(|node| {
            !offline[*node]
                && !submissions[*node].is_empty()
                && self.tokens[*node] < TOKENS_PER_BLOCK
        });
        let writers: Vec<usize> = writers.collect();
        self.writes += writers.len() as u64;
        if let Some(&node) = writers.get((now / STEP_MS) as usize % writers.len().max(1)) {
            let taken = TOKENS_PER_BLOCK.min(self.pool);
            self.pool -= taken;
            self.tokens[node] += taken;
        }
        let admit = |(node, node_submissions): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            node_submissions
                .iter()
                .map(|_| !offline[node] && try_take_token(tokens))
                .collect()
        };
        submissions.iter().enumerate().map(admit).collect()
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// The admission quotas of the daemon: the leader divides the rate by demand, max-min fair over classes.
struct SharedQuotaTable {
    followers: Vec<QuotaFollower>,
    synced_at: [u64; NODE_COUNT],
    stored: Option<quotas::AdmissionQuotas>,
    stored_at: u64,
    demand: [[f64; CLASS_COUNT]; NODE_COUNT],
    tokens: [[f64; CLASS_COUNT]; NODE_COUNT],
    unassigned_tokens: [f64; NODE_COUNT],
    writes: u64,
}

fn workload_class(class: usize) -> WorkloadClassName {
    WorkloadClassName {
        team: "t".into(),
        class: format!("c{class}"),
    }
}

impl SharedQuotaTable {
    fn new() -> Self {
        SharedQuotaTable {
            followers: vec![QuotaFollower::default(); NODE_COUNT],
            synced_at: [0; NODE_COUNT],
            stored: None,
            stored_at: 0,
            demand: [[0.0; CLASS_COUNT]; NODE_COUNT],
            tokens: [[0.0; CLASS_COUNT]; NODE_COUNT],
            unassigned_tokens: [0.0; NODE_COUNT],
            writes: 0,
        }
    }

    fn store_quotas(&mut self, now: u64) {
        if now < self.stored_at + QUOTAS_SETTLE_MS + 1000 {
            return;
        }
        let node_rate = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let demands: BTreeMap<String, NodeDemand> = (0..NODE_COUNT)
            .map(|node| {
                let class_demands =
                    (0..CLASS_COUNT).map(|class| (workload_class(class), self.demand[node][class]));
                let demand = NodeDemand {
                    capacity_per_s: node_rate,
                    class_demands: class_demands.collect(),
                    lateness: 0.0,
                };
                (format!("n{node}"), demand)
            })
            .collect();
        let seq = self.stored.as_ref().map_or(1, |quotas| quotas.seq + 1);
        let floor = quotas::floor_rate(node_rate);
        let quotas = quotas::allocate_quotas(&demands, floor, (seq, 1), 20);
        let quotas = quotas.with_previous_totals(self.stored.as_ref(), node_rate, floor);
        if self
            .stored
            .as_ref()
            .is_none_or(|stored| quotas.differs_by(stored, 0.05))
        {
            self.stored = Some(quotas);
            self.stored_at = now;
            self.writes += 1;
        }
    }
}

impl AdmissionStrategy for SharedQuotaTable {
    fn name(&self) -> &'static str {
        "leader's table"
    }

    fn step(&mut self, now: u64, submissions: &[Vec<usize>], offline: &[bool]) -> Vec<Vec<bool>> {
        self.store_quotas(now);
        let node_rate = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let step_s = STEP_MS as f64 / 1000.0;
        let mut admitted_by_node = Vec::new();
        for (node, node_submissions) in submissions.iter().enumerate() {
            let label = format!("n{node}");
            let default_and_floor_rates = (node_rate, quotas::floor_rate(node_rate));
            let shares = self.followers[node].shares_at(
                &label,
                default_and_floor_rates,
                Some(self.synced_at[node]),
                now,
            );
            if !offline[node] {
                if let Some(quotas) = &self.stored {
                    self.followers[node].adopt(&label, quotas.clone(), shares.clone(), now);
                }
                self.synced_at[node] = now;
            }
            let burst_s = 1.0;
            let mut overflow = shares.unassigned * step_s;
            for class in 0..CLASS_COUNT {
                let rate = shares
                    .classes
                    .get(&workload_class(class))
                    .copied()
                    .unwrap_or(0.0);
                let tokens = &mut self.tokens[node][class];
                *tokens += rate * step_s;
                overflow += (*tokens - rate * burst_s).max(0.0);
                *tokens = tokens.min(rate * burst_s);
                let arrivals = node_submissions
                    .iter()
                    .filter(|submitted_class| **submitted_class == class)
                    .count() as f64;
                self.demand[node][class] += (arrivals / step_s - self.demand[node][class]) * 0.02;
            }
            self.unassigned_tokens[node] =
                (self.unassigned_tokens[node] + overflow).min(shares.total() * burst_s);
            let admitted = node_submissions.iter().map(|class| {
                let tokens = &mut self.tokens[node][*class];
                !offline[node]
                    && (try_take_token(tokens) || try_take_token(&mut self.unassigned_tokens[node]))
            });
            admitted_by_node.push(admitted.collect());
        }
        admitted_by_node
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

#[derive(Default)]
struct SimulationResult {
    arrived: [u64; CLASS_COUNT],
    admitted: [u64; CLASS_COUNT],
    /// Submissions of all classes but class 0 that were admitted at their first attempt.
    admitted_at_first_try: u64,
    /// The rate of admitted submissions from 70 s to 150 s, while a class floods, as a fraction of the total rate.
    utilization: f64,
    /// The most submissions that were admitted in any second, as a fraction of the total rate.
    peak_utilization: f64,
}

/// Simulates a strategy for [`DURATION_MS`]. `is_offline`: whether a node can't reach the state service at a time,
/// in milliseconds since the start.
fn simulate(
    strategy: &mut dyn AdmissionStrategy,
    arrivals: Arrivals,
    is_offline: impl Fn(usize, u64) -> bool,
) -> SimulationResult {
    let mut rng = StdRng::seed_from_u64(7);
    let mut result = SimulationResult::default();
    let mut retries: BTreeMap<u64, Vec<WaitingUser>> = BTreeMap::new();
    let mut recent_admissions: VecDeque<u64> = VecDeque::new();
    let mut admitted_in_flood = 0;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let mut users: Vec<Vec<WaitingUser>> = vec![Vec::new(); NODE_COUNT];
        // The load balancer sends a retry to any node.
        let due: Vec<u64> = retries.range(..=now).map(|(at, _)| *at).collect();
        for user in due
            .into_iter()
            .flat_map(|at| retries.remove(&at).unwrap_or_default())
        {
            users[rng.random_range(0..NODE_COUNT)].push(user);
        }
        for (node, node_users) in users.iter_mut().enumerate() {
            for class in 0..CLASS_COUNT {
                let rate = arrivals(class, node, now) * STEP_MS as f64 / 1000.0;
                let count = rate.floor() as u64 + u64::from(rng.random_bool(rate.fract()));
                for _ in 0..count {
                    result.arrived[class] += 1;
                    node_users.push(WaitingUser {
                        class,
                        first_tried_at_ms: now,
                    });
                }
            }
            // The submissions arrive in random order, so that no class is first because of its number.
            for position in (1..node_users.len()).rev() {
                node_users.swap(position, rng.random_range(0..=position));
            }
        }
        let classes: Vec<Vec<usize>> = users
            .iter()
            .map(|node_users| node_users.iter().map(|user| user.class).collect())
            .collect();
        let offline: Vec<bool> = (0..NODE_COUNT).map(|node| is_offline(node, now)).collect();
        let admitted = strategy.step(now, &classes, &offline);
        for (user, is_admitted) in users.iter().flatten().zip(admitted.iter().flatten()) {
            if *is_admitted {
                result.admitted[user.class] += 1;
                result.admitted_at_first_try +=
                    u64::from(user.class > 0 && user.first_tried_at_ms == now);
                recent_admissions.push_back(now);
                admitted_in_flood += u64::from((70_000..150_000).contains(&now));
            } else {
                let retry_at = now + rng.random_range(2000..4000);
                if retry_at < user.first_tried_at_ms + RETRY_WINDOW_MS {
                    retries.entry(retry_at).or_default().push(*user);
                }
            }
        }
        while recent_admissions.front().is_some_and(|at| at + 1000 <= now) {
            recent_admissions.pop_front();
        }
        result.peak_utilization = result
            .peak_utilization
            .max(recent_admissions.len() as f64 / TOTAL_RATE_PER_S);
    }
    result.utilization = admitted_in_flood as f64 / 80.0 / TOTAL_RATE_PER_S;
    result
}

fn main() {
    let scenarios: [(&str, Arrivals, bool); 5] = [
        ("calm", calm_arrivals, false),
        ("one class, one node", one_node_flood_arrivals, false),
        ("one class, everywhere", all_nodes_flood_arrivals, false),
        ("two classes", two_class_flood_arrivals, false),
        (
            "everywhere, a node without the store",
            all_nodes_flood_arrivals,
            true,
        ),
    ];
    println!(
        "{:<38} {:<16} {:>8} {:>8} {:>8} {:>6} {:>6} {:>7}",
        "flood", "way", "calm", "at once", "flooding", "used", "most", "writes"
    );
    for (scenario, arrivals, loses_connection) in scenarios {
        let strategies: [Box<dyn AdmissionStrategy>; 4] = [
            Box::new(EqualSplit {
                tokens: [0.0; NODE_COUNT],
            }),
            Box::new(LocalAdaptive {
                rates: [TOTAL_RATE_PER_S / NODE_COUNT as f64; NODE_COUNT],
                tokens: [0.0; NODE_COUNT],
                recent_acceptances: VecDeque::new(),
            }),
            Box::new(TokenBlockLeasing {
                pool: TOTAL_RATE_PER_S,
                tokens: [0.0; NODE_COUNT],
                writes: 0,
            }),
            Box::new(SharedQuotaTable::new()),
        ];
        for mut strategy in strategies {
            let is_offline =
                move |node, now| loses_connection && node == 1 && (80_000..140_000).contains(&now);
            let result = simulate(&mut *strategy, arrivals, is_offline);
            let calm = |counts: &[u64; CLASS_COUNT]| counts[2..].iter().sum::<u64>() as f64;
            let fraction = |count: f64, total: f64| if total > 0.0 { count / total } else { 1.0 };
            println!(
                "{:<38} {:<16} {:>8.3} {:>8.3} {:>8.3} {:>6.2} {:>6.2} {:>7}",
                scenario,
                strategy.name(),
                fraction(calm(&result.admitted), calm(&result.arrived)),
                fraction(
                    result.admitted_at_first_try as f64,
                    result.arrived[1..].iter().sum::<u64>() as f64
                ),
                fraction(result.admitted[0] as f64, result.arrived[0] as f64),
                result.utilization,
                result.peak_utilization,
                strategy.writes()
            );
        }
    }
}
