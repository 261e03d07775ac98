//! Ways for three nodes to share what the state service takes of submissions, side by side: a fixed split, each
//! node alone by additive increase and multiplicative decrease, blocks of credit taken by compare-and-set, and
//! the leader's table as the daemon has it. `docs/admission.md` has the figures.
//!
//! Time goes in steps of 100 ms. Users who are refused come back after 2 to 4 s, for 60 s in all.

use std::collections::{BTreeMap, VecDeque};

use dalelb::coordination::admission::quotas::{self, Class, Demand, Following, SETTLED};
use rand::{Rng, SeedableRng, rngs::StdRng};

const NODES: usize = 3;
const CLASSES: usize = 5;
/// Submissions a second that the state service takes.
const WHOLE: f64 = 60.0;
const STEP: u64 = 100;
const END: u64 = 240_000;
const TRIES: u64 = 60_000;

#[derive(Clone, Copy)]
struct User {
    class: usize,
    first: u64,
}

/// What comes: submissions a second of a class at a node.
type Arrivals = fn(class: usize, node: usize, now: u64) -> f64;

/// Four calm classes of 1.2 a second each, wherever the load balancer leads them.
fn calm(class: usize, _: usize, _: u64) -> f64 {
    if class > 0 { 0.4 } else { 0.0 }
}

fn one_node(class: usize, node: usize, now: u64) -> f64 {
    let flood = class == 0 && node == 0 && (60_000..150_000).contains(&now);
    if flood { 200.0 } else { calm(class, node, now) }
}

fn everywhere(class: usize, node: usize, now: u64) -> f64 {
    let flood = class == 0 && (60_000..150_000).contains(&now);
    if flood { 60.0 } else { calm(class, node, now) }
}

/// Two classes flood, one of them over one node only.
fn two(class: usize, node: usize, now: u64) -> f64 {
    let flooded = (60_000..150_000).contains(&now);
    match class {
        0 if flooded => 60.0,
        1 if flooded && node == 0 => 60.0,
        _ => calm(class, node, now),
    }
}

/// Lets users in. Returns who of those that knock is let in at this step.
trait Way {
    fn name(&self) -> &'static str;
    /// `knocks`: by node, the classes of those who knock, in order; `cut`: nodes without the state service.
    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>>;
    /// Writes to the state service besides submissions.
    fn writes(&self) -> u64;
}

/// Each node its third, first come, first served.
struct Fixed {
    tokens: [f64; NODES],
}

impl Way for Fixed {
    fn name(&self) -> &'static str {
        "fixed split"
    }

    fn step(&mut self, _: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        let rate = WHOLE / NODES as f64;
        let let_in = |(node, knocks): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            *tokens = (*tokens + rate * STEP as f64 / 1000.0).min(rate);
            knocks.iter().map(|_| !cut[node] && take(tokens)).collect()
        };
        knocks.iter().enumerate().map(let_in).collect()
    }

    fn writes(&self) -> u64 {
        0
    }
}

fn take(tokens: &mut f64) -> bool {
    let has = *tokens >= 1.0;
    if has {
        *tokens -= 1.0;
    }
    has
}

/// Each node raises its rate by itself and halves it when the state service refuses.
struct Alone {
    rates: [f64; NODES],
    tokens: [f64; NODES],
    /// What the state service took in the last second.
    taken: VecDeque<u64>,
}

impl Way for Alone {
    fn name(&self) -> &'static str {
        "each alone"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        while self.taken.front().is_some_and(|at| at + 1000 <= now) {
            self.taken.pop_front();
        }
        let mut all = Vec::new();
        for (node, knocks) in knocks.iter().enumerate() {
            self.rates[node] += STEP as f64 / 1000.0;
            let rate = self.rates[node];
            self.tokens[node] = (self.tokens[node] + rate * STEP as f64 / 1000.0).min(rate);
            let mut let_in = Vec::new();
            let mut refused = false;
            for _ in knocks {
                let tries = take(&mut self.tokens[node]);
                let taken = tries && !cut[node] && (self.taken.len() as f64) < WHOLE;
                if taken {
                    self.taken.push_back(now);
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
struct Blocks {
    pool: f64,
    tokens: [f64; NODES],
    writes: u64,
}

const BLOCK: f64 = 6.0;

impl Way for Blocks {
    fn name(&self) -> &'static str {
        "credit blocks"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        self.pool = (self.pool + WHOLE * STEP as f64 / 1000.0).min(WHOLE);
        // Of those who ask at once one wins the compare-and-set; the others ask again at the next step.
        let wants = (0..NODES)
            .filter(|node| !cut[*node] && !knocks[*node].is_empty() && self.tokens[*node] < BLOCK);
        let wants: Vec<usize> = wants.collect();
        self.writes += wants.len() as u64;
        if let Some(&node) = wants.get((now / STEP) as usize % wants.len().max(1)) {
            let block = BLOCK.min(self.pool);
            self.pool -= block;
            self.tokens[node] += block;
        }
        let let_in = |(node, knocks): (usize, &Vec<usize>)| {
            let tokens = &mut self.tokens[node];
            knocks.iter().map(|_| !cut[node] && take(tokens)).collect()
        };
        knocks.iter().enumerate().map(let_in).collect()
    }

    fn writes(&self) -> u64 {
        self.writes
    }
}

/// The daemon's table: split by demand, max-min fair over classes.
struct Tabled {
    following: Vec<Following>,
    synced: [u64; NODES],
    stored: Option<quotas::Table>,
    stored_at: u64,
    demand: [[f64; CLASSES]; NODES],
    tokens: [[f64; CLASSES]; NODES],
    rest: [f64; NODES],
    writes: u64,
}

fn named(class: usize) -> Class {
    Class {
        team: "t".into(),
        class: format!("c{class}"),
    }
}

impl Tabled {
    fn new() -> Self {
        Tabled {
            following: vec![Following::default(); NODES],
            synced: [0; NODES],
            stored: None,
            stored_at: 0,
            demand: [[0.0; CLASSES]; NODES],
            tokens: [[0.0; CLASSES]; NODES],
            rest: [0.0; NODES],
            writes: 0,
        }
    }

    fn store(&mut self, now: u64) {
        if now < self.stored_at + SETTLED + 1000 {
            return;
        }
        let takes = WHOLE / NODES as f64;
        let demands: BTreeMap<String, Demand> = (0..NODES)
            .map(|node| {
                let classes = (0..CLASSES).map(|class| (named(class), self.demand[node][class]));
                let demand = Demand {
                    takes,
                    classes: classes.collect(),
                    late: 0.0,
                };
                (format!("n{node}"), demand)
            })
            .collect();
        let seq = self.stored.as_ref().map_or(1, |table| table.seq + 1);
        let floor = quotas::floor(takes);
        let table = quotas::split(&demands, floor, (seq, 1), 20);
        let table = table.after(self.stored.as_ref(), takes, floor);
        if self
            .stored
            .as_ref()
            .is_none_or(|known| table.differs(known, 0.05))
        {
            self.stored = Some(table);
            self.stored_at = now;
            self.writes += 1;
        }
    }
}

impl Way for Tabled {
    fn name(&self) -> &'static str {
        "leader's table"
    }

    fn step(&mut self, now: u64, knocks: &[Vec<usize>], cut: &[bool]) -> Vec<Vec<bool>> {
        self.store(now);
        let takes = WHOLE / NODES as f64;
        let step_s = STEP as f64 / 1000.0;
        let mut all = Vec::new();
        for (node, knocks) in knocks.iter().enumerate() {
            let label = format!("n{node}");
            let shares = (takes, quotas::floor(takes));
            let parts = self.following[node].parts(&label, shares, Some(self.synced[node]), now);
            if !cut[node] {
                if let Some(table) = &self.stored {
                    self.following[node].read(&label, table.clone(), parts.clone(), now);
                }
                self.synced[node] = now;
            }
            let depth = 1.0;
            let mut over = parts.rest * step_s;
            for class in 0..CLASSES {
                let rate = parts.classes.get(&named(class)).copied().unwrap_or(0.0);
                let tokens = &mut self.tokens[node][class];
                *tokens += rate * step_s;
                over += (*tokens - rate * depth).max(0.0);
                *tokens = tokens.min(rate * depth);
                let came = knocks.iter().filter(|other| **other == class).count() as f64;
                self.demand[node][class] += (came / step_s - self.demand[node][class]) * 0.02;
            }
            self.rest[node] = (self.rest[node] + over).min(parts.whole() * depth);
            let let_in = knocks.iter().map(|class| {
                let tokens = &mut self.tokens[node][*class];
                !cut[node] && (take(tokens) || take(&mut self.rest[node]))
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
struct Outcome {
    came: [u64; CLASSES],
    let_in: [u64; CLASSES],
    /// Of the calm classes, at their first try.
    at_once: u64,
    /// Let in in the flood's seconds, and the most in any second, as parts of the whole.
    used: f64,
    most: f64,
}

fn play(way: &mut dyn Way, arrivals: Arrivals, cut: impl Fn(usize, u64) -> bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(7);
    let mut outcome = Outcome::default();
    let mut back: BTreeMap<u64, Vec<User>> = BTreeMap::new();
    let mut lately: VecDeque<u64> = VecDeque::new();
    let mut flooded = 0;
    for now in (0..END).step_by(STEP as usize) {
        let mut knocks: Vec<Vec<User>> = vec![Vec::new(); NODES];
        // Who comes back is led to any node.
        let due: Vec<u64> = back.range(..=now).map(|(at, _)| *at).collect();
        for user in due
            .into_iter()
            .flat_map(|at| back.remove(&at).unwrap_or_default())
        {
            knocks[rng.random_range(0..NODES)].push(user);
        }
        for (node, knocks) in knocks.iter_mut().enumerate() {
            for class in 0..CLASSES {
                let rate = arrivals(class, node, now) * STEP as f64 / 1000.0;
                let count = rate.floor() as u64 + u64::from(rng.random_bool(rate.fract()));
                for _ in 0..count {
                    outcome.came[class] += 1;
                    knocks.push(User { class, first: now });
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
        let cut: Vec<bool> = (0..NODES).map(|node| cut(node, now)).collect();
        let let_in = way.step(now, &classes, &cut);
        for (user, let_in) in knocks.iter().flatten().zip(let_in.iter().flatten()) {
            if *let_in {
                outcome.let_in[user.class] += 1;
                outcome.at_once += u64::from(user.class > 0 && user.first == now);
                lately.push_back(now);
                flooded += u64::from((70_000..150_000).contains(&now));
            } else {
                let at = now + rng.random_range(2000..4000);
                if at < user.first + TRIES {
                    back.entry(at).or_default().push(*user);
                }
            }
        }
        while lately.front().is_some_and(|at| at + 1000 <= now) {
            lately.pop_front();
        }
        outcome.most = outcome.most.max(lately.len() as f64 / WHOLE);
    }
    outcome.used = flooded as f64 / 80.0 / WHOLE;
    outcome
}

fn main() {
    let floods: [(&str, Arrivals, bool); 5] = [
        ("calm", calm, false),
        ("one class, one node", one_node, false),
        ("one class, everywhere", everywhere, false),
        ("two classes", two, false),
        ("everywhere, a node without the store", everywhere, true),
    ];
    println!(
        "{:<38} {:<16} {:>8} {:>8} {:>8} {:>6} {:>6} {:>7}",
        "flood", "way", "calm", "at once", "flooding", "used", "most", "writes"
    );
    for (flood, arrivals, lost) in floods {
        let ways: [Box<dyn Way>; 4] = [
            Box::new(Fixed {
                tokens: [0.0; NODES],
            }),
            Box::new(Alone {
                rates: [WHOLE / NODES as f64; NODES],
                tokens: [0.0; NODES],
                taken: VecDeque::new(),
            }),
            Box::new(Blocks {
                pool: WHOLE,
                tokens: [0.0; NODES],
                writes: 0,
            }),
            Box::new(Tabled::new()),
        ];
        for mut way in ways {
            let cut = move |node, now| lost && node == 1 && (80_000..140_000).contains(&now);
            let outcome = play(&mut *way, arrivals, cut);
            let calm = |counts: &[u64; CLASSES]| counts[2..].iter().sum::<u64>() as f64;
            let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 1.0 };
            println!(
                "{:<38} {:<16} {:>8.3} {:>8.3} {:>8.3} {:>6.2} {:>6.2} {:>7}",
                flood,
                way.name(),
                part(calm(&outcome.let_in), calm(&outcome.came)),
                part(
                    outcome.at_once as f64,
                    outcome.came[1..].iter().sum::<u64>() as f64
                ),
                part(outcome.let_in[0] as f64, outcome.came[0] as f64),
                outcome.used,
                outcome.most,
                way.writes()
            );
        }
    }
}
