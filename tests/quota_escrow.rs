//! The escrow of one team's quota among cells under generated sequences: messages are lost, late, repeated and out of
//! order, writes get no answer or come late, leaders end between any two steps, the home or a cell is cut off. At
//! every step no more may be used than the limit allows, and once troubles end everything settles.

use std::collections::BTreeMap;

use dalelb::quota::{
    Grant, HoldRecord, HomeRecord, Position, Quota, TeamQuota, Units,
    coordinator::Home,
    participant::{Demand, Holder},
};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CELLS: usize = 3;
const HOME: usize = 0;
/// Time that passes with each step, in milliseconds.
const STEP: u64 = 100;
const SEQUENCES: u32 = 400;

fn name(cell: usize) -> String {
    format!("cell-{cell}")
}

fn quota(cpus: Units) -> Quota {
    Quota { cpus, gpus: 0 }
}

/// What may happen.
#[derive(Clone, Debug)]
enum Event {
    /// A cell's leader decides what to return and writes it.
    HoldWrites(usize),
    /// The home decides on grants and writes them.
    HomeWrites,
    /// The oldest write of a cell, or of the home, reaches its store: answered or not.
    Apply {
        home: bool,
        cell: usize,
        answered: bool,
    },
    /// A write without an answer: the leader reads what is stored.
    Reread {
        home: bool,
        cell: usize,
    },
    /// A cell tells the home how it stands.
    State(usize),
    /// One of the messages under way arrives, and is kept if it is to come again.
    Deliver {
        which: usize,
        again: bool,
    },
    /// One is lost.
    Lose(usize),
    /// A cell's leader ends; its successor knows what is stored.
    HoldEnds(usize),
    /// The home's leader ends.
    HomeEnds,
    /// The limit is set.
    Limit(Units),
    /// So much work waits in a cell.
    Waiting(usize, Units),
    /// Tasks start where they may, or end.
    Start(usize, Units),
    End(usize, Units),
}

fn any_event() -> impl Strategy<Value = Event> {
    let cell = 0..CELLS;
    let units = 0u64..400;
    prop_oneof![
        4 => cell.clone().prop_map(Event::HoldWrites),
        4 => Just(Event::HomeWrites),
        8 => (any::<bool>(), cell.clone(), prop::bool::weighted(0.7))
            .prop_map(|(home, cell, answered)| Event::Apply { home, cell, answered }),
        2 => (any::<bool>(), cell.clone()).prop_map(|(home, cell)| Event::Reread { home, cell }),
        4 => cell.clone().prop_map(Event::State),
        8 => (any::<usize>(), prop::bool::weighted(0.3))
            .prop_map(|(which, again)| Event::Deliver { which, again }),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => cell.clone().prop_map(Event::HoldEnds),
        1 => Just(Event::HomeEnds),
        1 => (0u64..1200).prop_map(Event::Limit),
        2 => (cell.clone(), units.clone()).prop_map(|(cell, units)| Event::Waiting(cell, units)),
        3 => (cell.clone(), units.clone()).prop_map(|(cell, units)| Event::Start(cell, units)),
        2 => (cell, units).prop_map(|(cell, units)| Event::End(cell, units)),
    ]
}

#[derive(Clone)]
enum Message {
    Position(usize, Position),
    Grant(usize, Grant),
}

/// A key of a store with the writes that are on their way to it. A write of a leader that has ended changes nothing:
/// it is conditional on that leader's key.
struct Key<T> {
    value: T,
    version: u64,
    /// The record, the version that it replaces, and the life of its leader.
    writes: Vec<(T, u64, u64)>,
    life: u64,
    /// A write is waited for, or what became of it is not known.
    waits: bool,
    doubtful: bool,
}

impl<T: Clone + Default> Key<T> {
    fn new() -> Self {
        Key {
            value: T::default(),
            version: 0,
            writes: Vec::new(),
            life: 0,
            waits: false,
            doubtful: false,
        }
    }

    fn write(&mut self, value: T, replaces: u64) {
        self.writes.push((value, replaces, self.life));
        self.waits = true;
    }

    /// Applies the oldest write; what was written, if it is stored and its leader still there.
    fn apply(&mut self) -> Option<(T, bool)> {
        if self.writes.is_empty() {
            return None;
        }
        let (value, replaces, life) = self.writes.remove(0);
        let own = life == self.life;
        let stored = own && replaces == self.version;
        if stored {
            self.value = value.clone();
            self.version += 1;
        }
        own.then_some((value, stored))
    }

    fn leader_ends(&mut self) {
        self.life += 1;
        self.waits = false;
        self.doubtful = false;
    }
}

struct Cell {
    holder: Holder,
    key: Key<HoldRecord>,
    used: Units,
    waiting: Units,
}

struct World {
    now: u64,
    home: Home,
    home_key: Key<HomeRecord>,
    cells: Vec<Cell>,
    messages: Vec<Message>,
    limit: Units,
    /// What all cells could use before this step, by what is stored.
    before: Units,
}

impl World {
    fn new() -> Self {
        let cells = (0..CELLS).map(|_| Cell {
            holder: Holder::default(),
            key: Key::new(),
            used: 0,
            waiting: 0,
        });
        World {
            now: 0,
            home: Home::new(&names(), HomeRecord::default(), 0, 0),
            home_key: Key::new(),
            cells: cells.collect(),
            messages: Vec::new(),
            limit: 600,
            before: 0,
        }
    }

    fn configured(&self) -> TeamQuota {
        TeamQuota {
            guarantee: quota(self.limit / 2),
            limit: quota(self.limit),
        }
    }

    fn happen(&mut self, event: &Event) {
        self.now += STEP;
        match *event {
            Event::HoldWrites(cell) => self.hold_writes(cell),
            Event::HomeWrites => self.home_writes(),
            Event::Apply {
                home: true,
                answered,
                ..
            } => self.apply_home(answered),
            Event::Apply { cell, answered, .. } => self.apply_hold(cell, answered),
            Event::Reread { home: true, .. } => self.reread_home(),
            Event::Reread { cell, .. } => self.reread_hold(cell),
            Event::State(cell) => self.state(cell),
            Event::Deliver { which, again } => self.deliver(which, again),
            Event::Lose(which) => {
                if !self.messages.is_empty() {
                    let which = which % self.messages.len();
                    self.messages.remove(which);
                }
            }
            Event::HoldEnds(cell) => {
                let cell = &mut self.cells[cell];
                cell.key.leader_ends();
                cell.holder = Holder::new(cell.key.value.clone(), cell.key.version);
            }
            Event::HomeEnds => {
                self.home_key.leader_ends();
                let (stored, version) = (self.home_key.value.clone(), self.home_key.version);
                self.home = Home::new(&names(), stored, version, self.now);
            }
            Event::Limit(limit) => self.limit = limit,
            Event::Waiting(cell, units) => self.cells[cell].waiting = units,
            Event::Start(cell, units) => {
                let cell = &mut self.cells[cell];
                let room = cell.holder.ceiling().cpus.saturating_sub(cell.used);
                let started = units.min(room).min(cell.waiting);
                cell.used += started;
                cell.waiting -= started;
            }
            Event::End(cell, units) => {
                let cell = &mut self.cells[cell];
                cell.used = cell.used.saturating_sub(units);
            }
        }
    }

    fn hold_writes(&mut self, cell: usize) {
        let cell = &mut self.cells[cell];
        if cell.key.waits || cell.key.doubtful {
            return;
        }
        if let Some(record) = cell.holder.next(quota(cell.used)) {
            cell.key.write(record, cell.holder.key_version);
        }
    }

    fn home_writes(&mut self) {
        if self.home_key.waits || self.home_key.doubtful {
            return;
        }
        if let Some(record) = self.home.next(self.configured(), self.now) {
            self.home_key.write(record, self.home.key_version);
        }
    }

    fn apply_hold(&mut self, cell: usize, answered: bool) {
        let cell = &mut self.cells[cell];
        let Some((record, stored)) = cell.key.apply() else {
            return;
        };
        cell.key.waits = false;
        if answered && stored {
            cell.holder.stored_as(record, cell.key.version);
        } else {
            cell.key.doubtful = true;
        }
    }

    fn apply_home(&mut self, answered: bool) {
        let Some((record, stored)) = self.home_key.apply() else {
            return;
        };
        self.home_key.waits = false;
        if answered && stored {
            let version = self.home_key.version;
            self.home.stored_as(record, version, self.now);
        } else {
            self.home_key.doubtful = true;
        }
    }

    /// Also while a write is still under way: that comes late, then.
    fn reread_hold(&mut self, cell: usize) {
        let cell = &mut self.cells[cell];
        cell.holder
            .stored_as(cell.key.value.clone(), cell.key.version);
        cell.key.doubtful = false;
        cell.key.waits = false;
    }

    fn reread_home(&mut self) {
        let (stored, version) = (self.home_key.value.clone(), self.home_key.version);
        self.home.stored_as(stored, version, self.now);
        self.home_key.doubtful = false;
        self.home_key.waits = false;
    }

    fn state(&mut self, cell: usize) {
        let state = &mut self.cells[cell];
        let demand = Demand {
            used: quota(state.used),
            waiting: quota(state.waiting),
            least: quota(state.waiting.min(10)),
            grain: quota(1),
        };
        let position = state.holder.position(&demand);
        self.messages.push(Message::Position(cell, position));
    }

    fn deliver(&mut self, which: usize, again: bool) {
        if self.messages.is_empty() {
            return;
        }
        let which = which % self.messages.len();
        let message = if again {
            self.messages[which].clone()
        } else {
            self.messages.remove(which)
        };
        match message {
            Message::Position(cell, position) => {
                // A cell may be heard before the home's successor has read as much.
                if self.home.hear(&name(cell), position, self.now).is_ok()
                    && let Some(grant) = self.home.grant(&name(cell))
                {
                    self.messages.push(Message::Grant(cell, grant));
                }
            }
            Message::Grant(cell, grant) => {
                let heard = self.cells[cell].holder.hear(&name(HOME), grant);
                assert_eq!(heard, Ok(()));
            }
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let mut possible = 0;
        for cell in &self.cells {
            let stored = cell.key.value.account.outstanding().cpus;
            let usable = cell.holder.allocation().cpus;
            prop_assert!(
                usable <= stored,
                "a leader uses {usable} of {stored} that are stored"
            );
            prop_assert!(
                cell.used <= stored,
                "{} run, {stored} are stored",
                cell.used
            );
            possible += stored;
        }
        let granted = self.home_key.value.accounts.values();
        let granted: Units = granted.map(|account| account.granted.cpus).sum();
        let returned = self
            .cells
            .iter()
            .map(|cell| cell.key.value.account.returned.cpus);
        let outstanding = granted - returned.sum::<Units>();
        prop_assert!(possible <= outstanding);
        // What the cells hold and what is on its way to them only grows within the limit.
        let limit = self.home_key.value.quota.limit.cpus;
        prop_assert!(
            outstanding <= limit.max(self.before),
            "{outstanding} of {limit}, {} before",
            self.before
        );
        self.before = outstanding;
        Ok(())
    }

    /// Everything works: all is written, told and heard, and what runs above its share is stopped.
    fn settle(&mut self) {
        for round in 0..60 {
            self.now += STEP;
            for cell in 0..CELLS {
                while !self.cells[cell].key.writes.is_empty() {
                    self.apply_hold(cell, true);
                    self.checked(round);
                }
                self.reread_hold(cell);
                self.hold_writes(cell);
                self.apply_hold(cell, true);
                self.reread_hold(cell);
                let state = &mut self.cells[cell];
                let excess = state.holder.excess(quota(state.used)).cpus;
                state.used -= excess;
                state.waiting += excess;
                let room = state.holder.ceiling().cpus.saturating_sub(state.used);
                let started = room.min(state.waiting);
                state.used += started;
                state.waiting -= started;
                self.state(cell);
            }
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
            while !self.home_key.writes.is_empty() {
                self.apply_home(true);
                self.checked(round);
            }
            self.reread_home();
            self.home_writes();
            self.apply_home(true);
            self.reread_home();
            self.checked(round);
        }
    }

    fn checked(&mut self, round: usize) {
        self.check()
            .unwrap_or_else(|error| panic!("round {round}: {error}"));
    }
}

fn names() -> Vec<String> {
    (0..CELLS).map(name).collect()
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn no_sequence_lets_cells_use_more_than_the_limit_and_all_settle() {
    let events = prop::collection::vec(any_event(), 1..300);
    let outcome = runner(SEQUENCES).run(&events, |events| {
        let mut world = World::new();
        for event in &events {
            world.happen(event);
            world.check()?;
        }
        world.settle();
        prop_assert_eq!(world.home.waiting(world.now), None, "in force everywhere");
        let used: Units = world.cells.iter().map(|cell| cell.used).sum();
        let waiting: Units = world.cells.iter().map(|cell| cell.waiting).sum();
        let limit = world.limit;
        prop_assert!(used <= limit);
        // What waits has a place, but for amounts that are not worth a move.
        let unused = limit - used;
        prop_assert!(
            waiting == 0 || unused <= limit / 8 + 40,
            "{} wait, {} of {} are unused",
            waiting,
            unused,
            limit
        );
        Ok(())
    });
    outcome.unwrap();
}

/// How far a sequence gets: a check that nothing happens in would prove nothing.
#[test]
fn the_sequences_move_units_and_change_limits() {
    let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
    let mut runner = runner(1);
    for _ in 0..60 {
        let events = prop::collection::vec(any_event(), 200..300);
        let events = events.new_tree(&mut runner).unwrap().current();
        let mut world = World::new();
        for event in &events {
            world.happen(event);
            let record = &world.home_key.value;
            let returned = world
                .cells
                .iter()
                .any(|cell| cell.key.value.account.returned.cpus > 0);
            let used = world.cells.iter().any(|cell| cell.used > 0);
            for (what, seen_now) in [
                ("versions", record.version > 2),
                ("returns", returned),
                ("use", used),
                ("doubt", world.home_key.doubtful),
            ] {
                *seen.entry(what).or_default() += u32::from(seen_now);
            }
        }
    }
    for what in ["versions", "returns", "use", "doubt"] {
        assert!(seen[what] > 100, "{what}: {seen:?}");
    }
}

/// Each write of a transfer, with the end of either leader after it, with and without an answer.
#[test]
fn a_leader_that_ends_between_any_two_writes_loses_and_doubles_nothing() {
    let calm = [
        Event::State(1),
        Event::Deliver {
            which: 0,
            again: false,
        },
        Event::HomeWrites,
        Event::Apply {
            home: true,
            cell: 0,
            answered: true,
        },
        Event::State(1),
        Event::Deliver {
            which: 0,
            again: false,
        },
        Event::Deliver {
            which: 0,
            again: false,
        },
        Event::HoldWrites(1),
        Event::Apply {
            home: false,
            cell: 1,
            answered: true,
        },
        Event::Waiting(1, 100),
        Event::Start(1, 100),
        Event::Limit(120),
        Event::HomeWrites,
        Event::Apply {
            home: true,
            cell: 0,
            answered: true,
        },
        Event::State(1),
        Event::Deliver {
            which: 0,
            again: false,
        },
        Event::Deliver {
            which: 0,
            again: false,
        },
        Event::HoldWrites(1),
        Event::Apply {
            home: false,
            cell: 1,
            answered: true,
        },
        Event::State(1),
        Event::Deliver {
            which: 0,
            again: false,
        },
    ];
    for place in 0..calm.len() {
        for end in [Event::HomeEnds, Event::HoldEnds(1)] {
            for lost in [false, true] {
                let mut world = World::new();
                for (at, event) in calm.iter().enumerate() {
                    let event = match event {
                        Event::Apply { home, cell, .. } if lost && at == place => Event::Apply {
                            home: *home,
                            cell: *cell,
                            answered: false,
                        },
                        other => other.clone(),
                    };
                    world.happen(&event);
                    world.check().unwrap();
                    if at == place {
                        world.happen(&end);
                        world.check().unwrap();
                    }
                }
                world.settle();
                assert_eq!(
                    world.home.waiting(world.now),
                    None,
                    "{place} {end:?} {lost}"
                );
                let used: Units = world.cells.iter().map(|cell| cell.used).sum();
                assert_eq!(used, 100, "{place} {end:?} {lost}");
            }
        }
    }
}

/// The home is gone for good: whoever holds units goes on with them and gets no more.
#[test]
fn without_its_home_a_cell_keeps_what_it_holds() {
    let mut world = World::new();
    world.settle();
    let held: Vec<Units> = world
        .cells
        .iter()
        .map(|cell| cell.holder.allocation().cpus)
        .collect();
    assert_eq!(held, [200, 200, 200]);
    for cell in 1..CELLS {
        world.happen(&Event::Waiting(cell, 1000));
        world.happen(&Event::Start(cell, 1000));
        world.happen(&Event::HoldEnds(cell));
        world.happen(&Event::HoldWrites(cell));
        assert_eq!(world.cells[cell].used, 200);
        assert_eq!(world.cells[cell].holder.excess(quota(200)), Quota::ZERO);
    }
    world.check().unwrap();
}

/// Every leader ends at once.
#[test]
fn all_cells_that_restart_hold_what_they_held() {
    let mut world = World::new();
    world.happen(&Event::Waiting(2, 300));
    world.settle();
    let held = |world: &World| -> Vec<Units> {
        world
            .cells
            .iter()
            .map(|cell| cell.holder.allocation().cpus)
            .collect()
    };
    let before = held(&world);
    for cell in 0..CELLS {
        world.happen(&Event::HoldEnds(cell));
    }
    world.happen(&Event::HomeEnds);
    assert_eq!(held(&world), before);
    world.settle();
    assert_eq!(held(&world), before, "nothing moves without need");
}

/// What a leader said two terms ago arrives now.
#[test]
fn messages_of_leaders_long_gone_change_nothing() {
    let mut world = World::new();
    world.happen(&Event::Waiting(1, 500));
    world.settle();
    // Both sides speak, and nobody hears it for two terms.
    world.state(1);
    let position = world.messages.remove(0);
    let Some(grant) = world.home.grant(&name(1)) else {
        panic!("nothing is granted");
    };
    for limit in [300, 900] {
        world.happen(&Event::Limit(limit));
        world.happen(&Event::HomeEnds);
        world.happen(&Event::HoldEnds(1));
        world.settle();
    }
    let held = world.cells[1].holder.allocation();
    let outstanding = world.home.outstanding();
    world.messages = vec![position, Message::Grant(1, grant)];
    for _ in 0..2 {
        world.deliver(0, true);
        world.messages.truncate(2);
        world.deliver(1, true);
        world.check().unwrap();
    }
    assert_eq!(world.cells[1].holder.allocation(), held);
    assert_eq!(world.home.outstanding(), outstanding);
    world.messages.clear();
    world.settle();
    assert_eq!(world.cells[1].holder.allocation(), held);
}

/// 330 teams, each with demand that moves from cell to cell.
#[test]
fn units_follow_demand_that_swings_between_cells() {
    for team in 0..330 {
        let mut world = World::new();
        for swing in 0..4 {
            let cell = (team + swing) % CELLS;
            world.happen(&Event::Waiting(cell, 500));
            world.settle();
            assert_eq!(world.cells[cell].used, 500, "team {team}, swing {swing}");
            world.happen(&Event::End(cell, 500));
        }
    }
}

#[test]
fn a_limit_of_nothing_takes_everything_back() {
    let mut world = World::new();
    world.happen(&Event::Waiting(1, 500));
    world.settle();
    world.happen(&Event::Limit(0));
    world.settle();
    assert_eq!(world.home.outstanding(), Quota::ZERO);
    assert!(world.cells.iter().all(|cell| cell.used == 0));
    world.happen(&Event::Limit(400));
    world.settle();
    assert_eq!(world.cells[1].used, 400);
}
