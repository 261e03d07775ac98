//! Ways for three nodes to share what the state service takes of submissions, side by side: a fixed split, each
//! node alone by additive increase and multiplicative decrease, blocks of credit taken by compare-and-set, and
//! the leader's table as the daemon has it. `docs/admission.md` has the figures.
//!
//! Time goes in steps of 100 ms. Users who are refused come back after 2 to 4 s, for 60 s in all.

use std::collections::{BTreeMap, VecDeque};

use dalelb::coordination::admission::quotas::{
    self, NodeDemand, QUOTAS_SETTLE_MS, QuotaFollower, WorkloadClassName,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const NODE_COUNT: usize = 3;
const CLASS_COUNT: usize = 5;
/// Submissions a second that the state service takes.
const TOTAL_RATE_PER_S: f64 = 60.0;
const STEP_MS: u64 = 100;
const DURATION_MS: u64 = 240_000;
const RETRY_WINDOW_MS: u64 = 60_000;

#[derive(Clone, Copy)]
struct WaitingUser {
    class: usize,
    first_tried_at_ms: u64,
}

/// What comes: submissions a second of a class at a node.
type Arrivals = fn(class: usize, node: usize, now: u64) -> f64;

/// Four calm classes of 1.2 a second each, wherever the load balancer leads them.
fn calm_arrivals(class: usize, _: usize, _: u64) -> f64 {
    if class > 0 { 0.4 } else { 0.0 }
}

fn one_node_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let flood = class == 0 && node == 0 && (60_000..150_000).contains(&now);
    if flood {
        200.0
    } else {
        calm_arrivals(class, node, now)
    }
}

fn all_nodes_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let flood = class == 0 && (60_000..150_000).contains(&now);
    if flood {
        60.0
    } else {
        calm_arrivals(class, node, now)
    }
}

/// Two classes flood, one of them over one node only.
fn two_class_flood_arrivals(class: usize, node: usize, now: u64) -> f64 {
    let flooded = (60_000..150_000).contains(&now);
    match class {
        0 if flooded => 60.0,
        1 if flooded && node == 0 => 60.0,
        _ => calm_arrivals(class, node, now),
    }
}

/// Lets users in. Returns who of those that knock is let in at this step.
trait AdmissionStrategy {
    fn name(&self) -> &'static str;
    /// `knocks`: by node, the classes of those who knock, in order; `cut`: nodes without the state service.
    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>>;
    /// Writes to the state service besides submissions.
    fn writes(&self) -> u64;
}

/// Each node its third, first come, first served.
struct EqualSplit {
    tokens: [f64; NODE_COUNT],
}

impl AdmissionStrategy for EqualSplit {
    fn name(&self) -> &'static str {
        "fixed split"
    }

    fn step(&mut self, _: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        let rate = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let let_in = |(node, knocks): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            *tokens = (*tokens + rate * STEP_MS as f64 / 1000.0).min(rate);
            knocks
                .iter()
                .map(|_| !cut[node] && try_take_token(tokens))
                .collect()
        };
        knocks.iter().enumerate().map(let_in).collect()
    }

    fn writes(&self) -> u64 {
        0
    }
}

fn try_take_token(tokens: &mut f64) -> bool {
    let has = *tokens >= 1.0;
    if has {
        *tokens -= 1.0;
    }
    has
}

/// Each node raises its rate by itself and halves it when the state service refuses.
struct LocalAdaptive {
    rates: [f64; NODE_COUNT],
    tokens: [f64; NODE_COUNT],
    /// What the state service took in the last second.
    recent_acceptances: VecDeque<u64>,
}

impl AdmissionStrategy for LocalAdaptive {
    fn name(&self) -> &'static str {
        "each alone"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        while self
            .recent_acceptances
            .front()
            .is_some_and(|at| at + 1000 <= now)
        {
            self.recent_acceptances.pop_front();
        }
        let mut all = Vec::new();
        for (node, knocks) in knocks.iter().enumerate() {
            self.rates[node] += STEP_MS as f64 / 1000.0;
            let rate = self.rates[node];
            self.tokens[node] = (self.tokens[node] + rate * STEP_MS as f64 / 1000.0).min(rate);
            let mut let_in = Vec::new();
            let mut refused = false;
            for _ in knocks {
                let tries = try_take_token(&mut self.tokens[node]);
                let taken = tries
                    && !cut[node]
                    && (self.recent_acceptances.len() as f64) < TOTAL_RATE_PER_S;
                if taken {
                    self.recent_acceptances.push_back(now);
                }
                refused |= tries && !taken;
                let_in.push(taken);
            }
            if refused {
                self.rates[node] = (rate / 2.0).max(1.0);
            }
            all.push(let_in);
        }
        all
    }

    fn writes(&self) -> u64 {
        0
    }
}

/// Nodes take blocks of credit from a key by compare-and-set; the key fills at the whole rate.
struct TokenBlockLeasing {
    pool: f64,
    tokens: [f64; NODE_COUNT],
    writes: u64,
}

const TOKENS_PER_BLOCK: f64 = 6.0;

impl AdmissionStrategy for TokenBlockLeasing {
    fn name(&self) -> &'static str {
        "credit blocks"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        self.pool = (self.pool + TOTAL_RATE_PER_S * STEP_MS as f64 / 1000.0).min(TOTAL_RATE_PER_S);
        // Of those who ask at once one wins the compare-and-set; the others ask again at the next step.
        let wants = (0..NODE_COUNT).filter(|node| {
            !cut[*node] && !knocks[*node].is_empty() && self.tokens[*node] < TOKENS_PER_BLOCK
        });
        let wants: Vec<usize> = wants.collect();
        self.writes += wants.len() as u64;
        if let Some(&node) = wants.get((now / STEP_MS) as usize % wants.len().max(1)) {
            let block = TOKENS_PER_BLOCK.min(self.pool);
            self.pool -= block;
            self.tokens[node] += block;
        }
        let let_in = |(node, knocks): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            knocks
                .iter()
                .map(|_| !cut[node] && try_take_token(tokens))
                .collect()
        };
        knocks.iter().enumerate().map(let_in).collect()
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// The daemon's table: split by demand, max-min fair over classes.
struct SharedQuotaTable {
    following: Vec<QuotaFollower>,
    synced: [u64; NODE_COUNT],
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
            following: vec![QuotaFollower::default(); NODE_COUNT],
            synced: [0; NODE_COUNT],
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
        let takes = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let demands: BTreeMap<String, NodeDemand> = (0..NODE_COUNT)
            .map(|node| {
                let classes =
                    (0..CLASS_COUNT).map(|class| (workload_class(class), self.demand[node][class]));
                let demand = NodeDemand {
                    capacity_per_s: takes,
                    class_demands: classes.collect(),
                    lateness: 0.0,
                };
                (format!("n{node}"), demand)
            })
            .collect();
        let seq = self.stored.as_ref().map_or(1, |table| table.seq + 1);
        let floor = quotas::floor_rate(takes);
        let table = quotas::allocate_quotas(&demands, floor, (seq, 1), 20);
        let table = table.following(self.stored.as_ref(), takes, floor);
        if self
            .stored
            .as_ref()
            .is_none_or(|known| table.differs_by(known, 0.05))
        {
            self.stored = Some(table);
            self.stored_at = now;
            self.writes += 1;
        }
    }
}

impl AdmissionStrategy for SharedQuotaTable {
    fn name(&self) -> &'static str {
        "leader's table"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        self.store_quotas(now);
        let takes = TOTAL_RATE_PER_S / NODE_COUNT as f64;
        let step_s = STEP_MS as f64 / 1000.0;
        let mut all = Vec::new();
        for (node, knocks) in knocks.iter().enumerate() {
            let label = format!("n{node}");
            let shares = (takes, quotas::floor_rate(takes));
            let parts =
                self.following[node].shares_at(&label, shares, Some(self.synced[node]), now);
            if !cut[node] {
                if let Some(table) = &self.stored {
                    self.following[node].adopt(&label, table.clone(), parts.clone(), now);
                }
                self.synced[node] = now;
            }
            let depth = 1.0;
            let mut over = parts.unassigned * step_s;
            for class in 0..CLASS_COUNT {
                let rate = parts
                    .classes
                    .get(&workload_class(class))
                    .copied()
                    .unwrap_or(0.0);
                let tokens = &mut self.tokens[node][class];
                *tokens += rate * step_s;
                over += (*tokens - rate * depth).max(0.0);
                *tokens = tokens.min(rate * depth);
                let came = knocks.iter().filter(|other| **other == class).count() as f64;
                self.demand[node][class] += (came / step_s - self.demand[node][class]) * 0.02;
            }
            self.unassigned_tokens[node] =
                (self.unassigned_tokens[node] + over).min(parts.total() * depth);
            let let_in = knocks.iter().map(|class| {
                let tokens = &mut self.tokens[node][*class];
                !cut[node]
                    && (try_take_token(tokens) || try_take_token(&mut self.unassigned_tokens[node]))
            });
            all.push(let_in.collect());
        }
        all
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

#[derive(Default)]
struct SimulationResult {
    arrived: [u64; CLASS_COUNT],
    admitted: [u64; CLASS_COUNT],
    /// Of the calm classes, at their first try.
    admitted_at_first_try: u64,
    /// Let in in the flood's seconds, and the most in any second, as parts of the whole.
    utilization: f64,
    peak_utilization: f64,
}

fn simulate(
    way: &mut dyn AdmissionStrategy,
    arrivals: Arrivals,
    cut: impl Fn(usize, u64) -> bool,
) -> SimulationResult {
    let mut rng = StdRng::seed_from_u64(7);
    let mut outcome = SimulationResult::default();
    let mut back: BTreeMap<u64, Vec<WaitingUser>> = BTreeMap::new();
    let mut lately: VecDeque<u64> = VecDeque::new();
    let mut flooded = 0;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let mut knocks: Vec<Vec<WaitingUser>> = vec![Vec::new(); NODE_COUNT];
        // Who comes back is led to any node.
        let due: Vec<u64> = back.range(..=now).map(|(at, _)| *at).collect();
        for user in due
            .into_iter()
            .flat_map(|at| back.remove(&at).unwrap_or_default())
        {
            knocks[rng.random_range(0..NODE_COUNT)].push(user);
        }
        for (node, knocks) in knocks.iter_mut().enumerate() {
            for class in 0..CLASS_COUNT {
                let rate = arrivals(class, node, now) * STEP_MS as f64 / 1000.0;
                let count = rate.floor() as u64 + u64::from(rng.random_bool(rate.fract()));
                for _ in 0..count {
                    outcome.arrived[class] += 1;
                    knocks.push(WaitingUser {
                        class,
                        first_tried_at_ms: now,
                    });
                }
            }
            // Nobody is first by the number of his class.
            for at in (1..knocks.len()).rev() {
                knocks.swap(at, rng.random_range(0..=at));
            }
        }
        let classes: Vec<Vec<usize>> = knocks
            .iter()
            .map(|knocks| knocks.iter().map(|user| user.class).collect())
            .collect();
        let cut: Vec<bool> = (0..NODE_COUNT).map(|node| cut(node, now)).collect();
        let let_in = way.step(now, &classes, &cut);
        for (user, let_in) in knocks.iter().flatten().zip(let_in.iter().flatten()) {
            if *let_in {
                outcome.admitted[user.class] += 1;
                outcome.admitted_at_first_try +=
                    u64::from(user.class > 0 && user.first_tried_at_ms == now);
                lately.push_back(now);
                flooded += u64::from((70_000..150_000).contains(&now));
            } else {
                let at = now + rng.random_range(2000..4000);
                if at < user.first_tried_at_ms + RETRY_WINDOW_MS {
                    back.entry(at).or_default().push(*user);
                }
            }
        }
        while lately.front().is_some_and(|at| at + 1000 <= now) {
            lately.pop_front();
        }
        outcome.peak_utilization = outcome
            .peak_utilization
            .max(lately.len() as f64 / TOTAL_RATE_PER_S);
    }
    outcome.utilization = flooded as f64 / 80.0 / TOTAL_RATE_PER_S;
    outcome
}

fn main() {
    let floods: [(&str, Arrivals, bool); 5] = [
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
    for (flood, arrivals, lost) in floods {
        let ways: [Box<dyn AdmissionStrategy>; 4] = [
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
        for mut way in ways {
            let cut = move |node, now| lost && node == 1 && (80_000..140_000).contains(&now);
            let outcome = simulate(&mut *way, arrivals, cut);
            let calm = |counts: &[u64; CLASS_COUNT]| counts[2..].iter().sum::<u64>() as f64;
            let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 1.0 };
            println!(
                "{:<38} {:<16} {:>8.3} {:>8.3} {:>8.3} {:>6.2} {:>6.2} {:>7}",
                flood,
                way.name(),
                part(calm(&outcome.admitted), calm(&outcome.arrived)),
                part(
                    outcome.admitted_at_first_try as f64,
                    outcome.arrived[1..].iter().sum::<u64>() as f64
                ),
                part(outcome.admitted[0] as f64, outcome.arrived[0] as f64),
                outcome.utilization,
                outcome.peak_utilization,
                way.writes()
            );
        }
    }
}
