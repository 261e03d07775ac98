//! The escrow of one team's quota among cells under generated event sequences. Messages are lost, delayed, repeated
//! and reordered; writes get no response or are executed late; leaders crash between any two steps; the coordinator
//! or a cell is partitioned. After every step the usage must be within the limit, and once faults stop the state
//! must converge.

use std::collections::BTreeMap;

use dalelb::quota::{
    CoordinatorRecord, Grant, ParticipantRecord, ParticipantReport, Quota, TeamQuota, Units,
    coordinator::Coordinator,
    participant::{Participant, TeamDemand},
};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CELLS: usize = 3;
const COORDINATOR_CELL: usize = 0;
/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 100;
const SEQUENCE_COUNT: u32 = 400;

fn cell_name(cell: usize) -> String {
    format!("cell-{cell}")
}

fn quota(cpus: Units) -> Quota {
    Quota { cpus, gpus: 0 }
}

/// An event of a generated sequence.
#[derive(Clone, Debug)]
enum Event {
    /// A cell's leader decides which units to return and writes its record.
    ParticipantWrites(usize),
    /// The coordinator decides on grants and writes its record.
    CoordinatorWrites,
    /// The oldest write of a cell or of the coordinator reaches its store, with or without a response.
    Apply {
        coordinator: bool,
        cell: usize,
        answered: bool,
    },
    /// A leader reads the stored record again, as after a write without a response.
    Reread { coordinator: bool, cell: usize },
    /// A cell sends its report to the coordinator.
    SendReport(usize),
    /// A message in flight is delivered; it stays in flight if it is to be delivered again.
    Deliver { index: usize, keep: bool },
    /// A message in flight is lost.
    DropMessage(usize),
    /// A cell's leader crashes; its successor starts from the stored record.
    ParticipantLeaderCrashes(usize),
    /// The coordinator's leader crashes.
    CoordinatorLeaderCrashes,
    /// The team's limit is set to this many units.
    Limit(Units),
    /// The waiting work in a cell is set to this many units.
    Waiting(usize, Units),
    /// Tasks of up to this many units start in a cell, as far as its quota allows.
    Start(usize, Units),
    /// Tasks of up to this many units end in a cell.
    End(usize, Units),
}

fn any_event() -> impl Strategy<Value = Event> {
    let cell = 0..CELLS;
    let units = 0u64..400;
    prop_oneof![
        4 => cell.clone().prop_map(Event::ParticipantWrites),
        4 => Just(Event::CoordinatorWrites),
        8 => (any::<bool>(), cell.clone(), prop::bool::weighted(0.7))
            .prop_map(|(coordinator, cell, answered)| Event::Apply { coordinator, cell, answered }),
        2 => (any::<bool>(), cell.clone()).prop_map(|(coordinator, cell)| Event::Reread { coordinator, cell }),
        4 => cell.clone().prop_map(Event::SendReport),
        8 => (any::<usize>(), prop::bool::weighted(0.3))
            .prop_map(|(index, keep)| Event::Deliver { index, keep }),
        1 => any::<usize>().prop_map(Event::DropMessage),
        1 => cell.clone().prop_map(Event::ParticipantLeaderCrashes),
        1 => Just(Event::CoordinatorLeaderCrashes),
        1 => (0u64..1200).prop_map(Event::Limit),
        2 => (cell.clone(), units.clone()).prop_map(|(cell, units)| Event::Waiting(cell, units)),
        3 => (cell.clone(), units.clone()).prop_map(|(cell, units)| Event::Start(cell, units)),
        2 => (cell, units).prop_map(|(cell, units)| Event::End(cell, units)),
    ]
}

#[derive(Clone)]
enum Message {
    Report(usize, ParticipantReport),
    Grant(usize, Grant),
}

/// A key of a store with the writes in flight to it. A write of a former leader has no effect: it is conditional on
/// that leader's key.
struct StoredKey<T> {
    value: T,
    version: u64,
    /// The record, the version that it replaces, and the incarnation of its leader.
    writes: Vec<(T, u64, u64)>,
    incarnation: u64,
    /// The leader waits for the response to a write.
    write_in_flight: bool,
    /// The leader does not know whether its last write was executed.
    outcome_unknown: bool,
}

impl<T: Clone + Default> StoredKey<T> {
    fn new() -> Self {
        StoredKey {
            value: T::default(),
            version: 0,
            writes: Vec::new(),
            incarnation: 0,
            write_in_flight: false,
            outcome_unknown: false,
        }
    }

    fn write(&mut self, value: T, replaced_version: u64) {
        self.writes
            .push((value, replaced_version, self.incarnation));
        self.write_in_flight = true;
    }

    /// Executes the oldest write. Returns its record and whether it was stored, or `None` if there is no write or
    /// its leader has crashed.
    fn apply(&mut self) -> Option<(T, bool)> {
        if self.writes.is_empty() {
            return None;
        }
        let (value, replaced_version, incarnation) = self.writes.remove(0);
        let is_current = incarnation == self.incarnation;
        let stored = is_current && replaced_version == self.version;
        if stored {
            self.value = value.clone();
            self.version += 1;
        }
        is_current.then_some((value, stored))
    }

    fn on_leader_crash(&mut self) {
        self.incarnation += 1;
        self.write_in_flight = false;
        self.outcome_unknown = false;
    }
}

struct SimulatedCell {
    participant: Participant,
    key: StoredKey<ParticipantRecord>,
    used: Units,
    waiting: Units,
}

struct Simulation {
    now: u64,
    coordinator: Coordinator,
    coordinator_key: StoredKey<CoordinatorRecord>,
    cells: Vec<SimulatedCell>,
    messages: Vec<Message>,
    limit: Units,
    /// Units granted and not returned before this step, according to the stored records.
    outstanding_before: Units,
}

impl Simulation {
    fn new() -> Self {
        let cells = (0..CELLS).map(|_| SimulatedCell {
            participant: Participant::default(),
            key: StoredKey::new(),
            used: 0,
            waiting: 0,
        });
        Simulation {
            now: 0,
            coordinator: Coordinator::new(&cell_names(), CoordinatorRecord::default(), 0, 0),
            coordinator_key: StoredKey::new(),
            cells: cells.collect(),
            messages: Vec::new(),
            limit: 600,
            outstanding_before: 0,
        }
    }

    fn configured(&self) -> TeamQuota {
        TeamQuota {
            guarantee: quota(self.limit / 2),
            limit: quota(self.limit),
        }
    }

    fn apply_event(&mut self, event: &Event) {
        self.now += STEP_MS;
        match *event {
            Event::ParticipantWrites(cell) => self.write_participant(cell),
            Event::CoordinatorWrites => self.write_coordinator(),
            Event::Apply {
                coordinator: true,
                answered,
                ..
            } => self.apply_coordinator_write(answered),
            Event::Apply { cell, answered, .. } => self.apply_participant_write(cell, answered),
            Event::Reread {
                coordinator: true, ..
            } => self.reread_coordinator(),
            Event::Reread { cell, .. } => self.reread_participant(cell),
            Event::SendReport(cell) => self.send_report(cell),
            Event::Deliver { index, keep } => self.deliver_message(index, keep),
            Event::DropMessage(index) => {
                if !self.messages.is_empty() {
                    let index = index % self.messages.len();
                    self.messages.remove(index);
                }
            }
            Event::ParticipantLeaderCrashes(cell) => {
                let cell = &mut self.cells[cell];
                cell.key.on_leader_crash();
                cell.participant = Participant::new(cell.key.value.clone(), cell.key.version);
            }
            Event::CoordinatorLeaderCrashes => {
                self.coordinator_key.on_leader_crash();
                let (stored, version) = (
                    self.coordinator_key.value.clone(),
                    self.coordinator_key.version,
                );
                self.coordinator = Coordinator::new(&cell_names(), stored, version, self.now);
            }
            Event::Limit(limit) => self.limit = limit,
            Event::Waiting(cell, units) => self.cells[cell].waiting = units,
            Event::Start(cell, units) => {
                let cell = &mut self.cells[cell];
                let free_units = cell
                    .participant
                    .new_work_ceiling()
                    .cpus
                    .saturating_sub(cell.used);
                let started = units.min(free_units).min(cell.waiting);
                cell.used += started;
                cell.waiting -= started;
            }
            Event::End(cell, units) => {
                let cell = &mut self.cells[cell];
                cell.used = cell.used.saturating_sub(units);
            }
        }
    }

    fn write_participant(&mut self, cell: usize) {
        let cell = &mut self.cells[cell];
        if cell.key.write_in_flight || cell.key.outcome_unknown {
            return;
        }
        if let Some(record) = cell.participant.next_record(quota(cell.used)) {
            cell.key.write(record, cell.participant.key_version);
        }
    }

    fn write_coordinator(&mut self) {
        if self.coordinator_key.write_in_flight || self.coordinator_key.outcome_unknown {
            return;
        }
        if let Some(record) = self.coordinator.next_record(self.configured(), self.now) {
            self.coordinator_key
                .write(record, self.coordinator.key_version);
        }
    }

    fn apply_participant_write(&mut self, cell: usize, answered: bool) {
        let cell = &mut self.cells[cell];
        let Some((record, stored)) = cell.key.apply() else {
            return;
        };
        cell.key.write_in_flight = false;
        if answered && stored {
            cell.participant.on_stored(record, cell.key.version);
        } else {
            cell.key.outcome_unknown = true;
        }
    }

    fn apply_coordinator_write(&mut self, answered: bool) {
        let Some((record, stored)) = self.coordinator_key.apply() else {
            return;
        };
        self.coordinator_key.write_in_flight = false;
        if answered && stored {
            let version = self.coordinator_key.version;
            self.coordinator.on_stored(record, version, self.now);
        } else {
            self.coordinator_key.outcome_unknown = true;
        }
    }

    /// May happen while a write is in flight; that write is then executed late.
    fn reread_participant(&mut self, cell: usize) {
        let cell = &mut self.cells[cell];
        cell.participant
            .on_stored(cell.key.value.clone(), cell.key.version);
        cell.key.outcome_unknown = false;
        cell.key.write_in_flight = false;
    }

    fn reread_coordinator(&mut self) {
        let (stored, version) = (
            self.coordinator_key.value.clone(),
            self.coordinator_key.version,
        );
        self.coordinator.on_stored(stored, version, self.now);
        self.coordinator_key.outcome_unknown = false;
        self.coordinator_key.write_in_flight = false;
    }

    fn send_report(&mut self, cell: usize) {
        let state = &mut self.cells[cell];
        let demand = TeamDemand {
            used: quota(state.used),
            waiting: quota(state.waiting),
            first_request: quota(state.waiting.min(10)),
            largest_task: quota(1),
        };
        let report = state.participant.report(&demand);
        self.messages.push(Message::Report(cell, report));
    }

    fn deliver_message(&mut self, index: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let message = if keep {
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        match message {
            Message::Report(cell, report) => {
                // Rejected if it names grants of a former leader of the coordinator that this one has not read
                // yet.
                if self
                    .coordinator
                    .on_report(&cell_name(cell), report, self.now)
                    .is_ok()
                    && let Some(grant) = self.coordinator.grant(&cell_name(cell))
                {
                    self.messages.push(Message::Grant(cell, grant));
                }
            }
            Message::Grant(cell, grant) => {
                let result = self.cells[cell]
                    .participant
                    .on_grant(&cell_name(COORDINATOR_CELL), grant);
                assert_eq!(result, Ok(()));
            }
        }
    }

    fn check_invariants(&mut self) -> Result<(), TestCaseError> {
        let mut held = 0;
        for cell in &self.cells {
            let stored = cell.key.value.account.outstanding().cpus;
            let usable = cell.participant.usable_quota().cpus;
            prop_assert!(
                usable <= stored,
                "a leader may use {usable} units, but only {stored} are stored"
            );
            prop_assert!(
                cell.used <= stored,
                "{} units are used, but only {stored} are stored",
                cell.used
            );
            held += stored;
        }
        let granted = self.coordinator_key.value.accounts.values();
        let granted: Units = granted.map(|account| account.granted.cpus).sum();
        let returned = self
            .cells
            .iter()
            .map(|cell| cell.key.value.account.returned.cpus);
        let outstanding = granted - returned.sum::<Units>();
        prop_assert!(held <= outstanding);
        // Units that the cells hold or that are in flight to them only increase up to the limit.
        let limit = self.coordinator_key.value.quota.limit.cpus;
        prop_assert!(
            outstanding <= limit.max(self.outstanding_before),
            "{outstanding} units outstanding, limit {limit}, {} before",
            self.outstanding_before
        );
        self.outstanding_before = outstanding;
        Ok(())
    }

    /// Runs without faults: every write is executed with a response, every message is delivered, and tasks above
    /// their cell's quota are stopped.
    fn run_until_converged(&mut self) {
        for round in 0..60 {
            self.now += STEP_MS;
            for cell in 0..CELLS {
                while !self.cells[cell].key.writes.is_empty() {
                    self.apply_participant_write(cell, true);
                    self.assert_invariants(round);
                }
                self.reread_participant(cell);
                self.write_participant(cell);
                self.apply_participant_write(cell, true);
                self.reread_participant(cell);
                let state = &mut self.cells[cell];
                let excess = state.participant.excess(quota(state.used)).cpus;
                state.used -= excess;
                state.waiting += excess;
                let free_units = state
                    .participant
                    .new_work_ceiling()
                    .cpus
                    .saturating_sub(state.used);
                let started = free_units.min(state.waiting);
                state.used += started;
                state.waiting -= started;
                self.send_report(cell);
            }
            while !self.messages.is_empty() {
                self.deliver_message(0, false);
            }
            while !self.coordinator_key.writes.is_empty() {
                self.apply_coordinator_write(true);
                self.assert_invariants(round);
            }
            self.reread_coordinator();
            self.write_coordinator();
            self.apply_coordinator_write(true);
            self.reread_coordinator();
            self.assert_invariants(round);
        }
    }

    fn assert_invariants(&mut self, round: usize) {
        self.check_invariants()
            .unwrap_or_else(|error| panic!("round {round}: {error}"));
    }
}

fn cell_names() -> Vec<String> {
    (0..CELLS).map(cell_name).collect()
}

fn test_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn no_event_sequence_exceeds_limit_and_all_converge() {
    let events = prop::collection::vec(any_event(), 1..300);
    let outcome = test_runner(SEQUENCE_COUNT).run(&events, |events| {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply_event(event);
            simulation.check_invariants()?;
        }
        simulation.run_until_converged();
        prop_assert_eq!(
            simulation.coordinator.change_pending_for(simulation.now),
            None,
            "the quota is in force in all cells"
        );
        let used: Units = simulation.cells.iter().map(|cell| cell.used).sum();
        let waiting: Units = simulation.cells.iter().map(|cell| cell.waiting).sum();
        let limit = simulation.limit;
        prop_assert!(used <= limit);
        // Waiting work gets units, except for amounts that are too small to be transferred.
        let unused = limit - used;
        prop_assert!(
            waiting == 0 || unused <= limit / 8 + 40,
            "{} units wait, {} of {} are unused",
            waiting,
            unused,
            limit
        );
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against generated sequences in which too little happens for the other tests to prove anything.
#[test]
fn generated_sequences_cover_transfers_and_limit_changes() {
    let mut occurrences: BTreeMap<&str, u32> = BTreeMap::new();
    let mut runner = test_runner(1);
    for _ in 0..60 {
        let events = prop::collection::vec(any_event(), 200..300);
        let events = events.new_tree(&mut runner).unwrap().current();
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply_event(event);
            let record = &simulation.coordinator_key.value;
            let returned = simulation
                .cells
                .iter()
                .any(|cell| cell.key.value.account.returned.cpus > 0);
            let used = simulation.cells.iter().any(|cell| cell.used > 0);
            for (condition, holds) in [
                ("versions", record.version > 2),
                ("returns", returned),
                ("use", used),
                (
                    "unknown outcomes",
                    simulation.coordinator_key.outcome_unknown,
                ),
            ] {
                *occurrences.entry(condition).or_default() += u32::from(holds);
            }
        }
    }
    for condition in ["versions", "returns", "use", "unknown outcomes"] {
        assert!(occurrences[condition] > 100, "{condition}: {occurrences:?}");
    }
}

/// A leader crash after any step of a transfer, with and without a response to the write, must neither lose nor
/// duplicate units.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn leader_crash_between_any_two_writes_neither_loses_nor_duplicates_units() {
    let transfer = [
        Event::SendReport(1),
        Event::Deliver {
            index: 0,
            keep: false,
        },
        Event::CoordinatorWrites,
        Event::Apply {
            coordinator: true,
            cell: 0,
            answered: true,
        },
        Event::SendReport(1),
        Event::Deliver {
            index: 0,
            keep: false,
        },
        Event::Deliver {
            index: 0,
            keep: false,
        },
        Event::ParticipantWrites(1),
        Event::Apply {
            coordinator: false,
            cell: 1,
            answered: true,
        },
        Event::Waiting(1, 100),
        Event::Start(1, 100),
        Event::Limit(120),
        Event::CoordinatorWrites,
        Event::Apply {
            coordinator: true,
            cell: 0,
            answered: true,
        },
        Event::SendReport(1),
        Event::Deliver {
            index: 0,
            keep: false,
        },
        Event::Deliver {
            index: 0,
            keep: false,
        },
        Event::ParticipantWrites(1),
        Event::Apply {
            coordinator: false,
            cell: 1,
            answered: true,
        },
        Event::SendReport(1),
        Event::Deliver {
            index: 0,
            keep: false,
        },
    ];
    for crash_step in 0..transfer.len() {
        for crash in [
            Event::CoordinatorLeaderCrashes,
            Event::ParticipantLeaderCrashes(1),
        ] {
            for response_lost in [false, true] {
                let mut simulation = Simulation::new();
                for (step, event) in transfer.iter().enumerate() {
                    let event = match event {
                        Event::Apply {
                            coordinator, cell, ..
                        } if response_lost && step == crash_step => Event::Apply {
                            coordinator: *coordinator,
                            cell: *cell,
                            answered: false,
                        },
                        other => other.clone(),
                    };
                    simulation.apply_event(&event);
                    simulation.check_invariants().unwrap();
                    if step == crash_step {
                        simulation.apply_event(&crash);
                        simulation.check_invariants().unwrap();
                    }
                }
                simulation.run_until_converged();
                assert_eq!(
                    simulation.coordinator.change_pending_for(simulation.now),
                    None,
                    "{crash:?} after step {crash_step}, response lost: {response_lost}"
                );
                let used: Units = simulation.cells.iter().map(|cell| cell.used).sum();
                assert_eq!(
                    used, 100,
                    "{crash:?} after step {crash_step}, response lost: {response_lost}"
                );
            }
        }
    }
}

/// The coordinator is permanently unreachable: cells keep the units that they hold and get no more.
#[test]
fn participant_keeps_quota_while_coordinator_is_unreachable() {
    let mut simulation = Simulation::new();
    simulation.run_until_converged();
    let held: Vec<Units> = simulation
        .cells
        .iter()
        .map(|cell| cell.participant.usable_quota().cpus)
        .collect();
    assert_eq!(held, [200, 200, 200]);
    for cell in 1..CELLS {
        simulation.apply_event(&Event::Waiting(cell, 1000));
        simulation.apply_event(&Event::Start(cell, 1000));
        simulation.apply_event(&Event::ParticipantLeaderCrashes(cell));
        simulation.apply_event(&Event::ParticipantWrites(cell));
        assert_eq!(simulation.cells[cell].used, 200);
        assert_eq!(
            simulation.cells[cell].participant.excess(quota(200)),
            Quota::ZERO
        );
    }
    simulation.check_invariants().unwrap();
}

/// All leaders crash at the same time.
#[test]
fn restarted_cells_recover_their_quota() {
    let mut simulation = Simulation::new();
    simulation.apply_event(&Event::Waiting(2, 300));
    simulation.run_until_converged();
    let held = |simulation: &Simulation| -> Vec<Units> {
        simulation
            .cells
            .iter()
            .map(|cell| cell.participant.usable_quota().cpus)
            .collect()
    };
    let before = held(&simulation);
    for cell in 0..CELLS {
        simulation.apply_event(&Event::ParticipantLeaderCrashes(cell));
    }
    simulation.apply_event(&Event::CoordinatorLeaderCrashes);
    assert_eq!(held(&simulation), before);
    simulation.run_until_converged();
    assert_eq!(
        held(&simulation),
        before,
        "no units are transferred without demand"
    );
}

/// A report and a grant that were sent two leaders ago are delivered late and repeatedly; they must change nothing.
#[test]
fn delayed_messages_of_former_leaders_are_ignored() {
    let mut simulation = Simulation::new();
    simulation.apply_event(&Event::Waiting(1, 500));
    simulation.run_until_converged();
    // Both sides send a message that is delayed for two terms.
    simulation.send_report(1);
    let report = simulation.messages.remove(0);
    let Some(grant) = simulation.coordinator.grant(&cell_name(1)) else {
        panic!("no grant for the cell");
    };
    for limit in [300, 900] {
        simulation.apply_event(&Event::Limit(limit));
        simulation.apply_event(&Event::CoordinatorLeaderCrashes);
        simulation.apply_event(&Event::ParticipantLeaderCrashes(1));
        simulation.run_until_converged();
    }
    let held = simulation.cells[1].participant.usable_quota();
    let outstanding = simulation.coordinator.outstanding();
    simulation.messages = vec![report, Message::Grant(1, grant)];
    for _ in 0..2 {
        simulation.deliver_message(0, true);
        simulation.messages.truncate(2);
        simulation.deliver_message(1, true);
        simulation.check_invariants().unwrap();
    }
    assert_eq!(simulation.cells[1].participant.usable_quota(), held);
    assert_eq!(simulation.coordinator.outstanding(), outstanding);
    simulation.messages.clear();
    simulation.run_until_converged();
    assert_eq!(simulation.cells[1].participant.usable_quota(), held);
}

/// 330 teams, each with demand that shifts from cell to cell: units must follow it every time.
#[test]
fn units_follow_demand_shifting_between_cells() {
    for team in 0..330 {
        let mut simulation = Simulation::new();
        for shift in 0..4 {
            let cell = (team + shift) % CELLS;
            simulation.apply_event(&Event::Waiting(cell, 500));
            simulation.run_until_converged();
            assert_eq!(
                simulation.cells[cell].used, 500,
                "team {team}, shift {shift}"
            );
            simulation.apply_event(&Event::End(cell, 500));
        }
    }
}

#[test]
fn zero_limit_reclaims_all_units() {
    let mut simulation = Simulation::new();
    simulation.apply_event(&Event::Waiting(1, 500));
    simulation.run_until_converged();
    simulation.apply_event(&Event::Limit(0));
    simulation.run_until_converged();
    assert_eq!(simulation.coordinator.outstanding(), Quota::ZERO);
    assert!(simulation.cells.iter().all(|cell| cell.used == 0));
    simulation.apply_event(&Event::Limit(400));
    simulation.run_until_converged();
    assert_eq!(simulation.cells[1].used, 400);
}
