//! Service-level objectives: how soon the jobs of a class have to start and to complete.

use crate::{
    cluster::{ClusterState, index::ClassIndex},
    config::Objective,
};

/// The factor by which estimated run times are increased, as users' estimates are often too low.
pub const ESTIMATE_MARGIN: f64 = 1.3;

/// The objectives of a class of jobs.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevelObjectives {
    /// Start objectives: the seconds from a job's release within which it has to start.
    pub start_s: Vec<f64>,
    /// Completion objectives: the seconds from a job's release within which it has to be done.
    pub finish_s: Vec<f64>,
    /// Multiples of a job's own deadline within which it has to be done.
    pub deadline_multiples: Vec<f64>,
}

impl ServiceLevelObjectives {
    /// The tightest objective for starting, in seconds.
    pub fn tightest_start_s(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }

    /// The completion objectives that follow from a job's deadline, both in seconds from its submission. A
    /// class without multiples has the deadline itself as its objective.
    pub fn completion_objectives_s(&self, deadline_s: Option<f64>) -> impl Iterator<Item = f64> {
        let multiples = if self.deadline_multiples.is_empty() {
            &[1.0][..]
        } else {
            &self.deadline_multiples
        };
        let deadlines = deadline_s.into_iter();
        deadlines.flat_map(move |due_s| multiples.iter().map(move |multiple| due_s * multiple))
    }

    /// For each completion objective: how many seconds after the job's release its tasks may start at the
    /// latest. The release is `dependency_wait_s` after the submission. Objectives that can't be met even by
    /// an immediate start are left out.
    pub(super) fn completion_slacks_s(
        &self,
        estimate_s: f64,
        deadline_s: Option<f64>,
        dependency_wait_s: f64,
    ) -> Vec<f64> {
        let run_s = estimate_s * ESTIMATE_MARGIN;
        let deadline_slacks = self
            .completion_objectives_s(deadline_s)
            .map(|due_s| due_s - dependency_wait_s - run_s);
        let finish_slacks = self.finish_s.iter().map(|finish_s| finish_s - run_s);
        let mut slacks: Vec<f64> = finish_slacks.chain(deadline_slacks).collect();
        slacks.retain(|slack_s| *slack_s > 0.0);
        slacks
    }
}

impl ClusterState {
    /// The completion objectives that follow from the deadline of a job of a class, both in seconds from its
    /// submission.
    pub fn completion_objectives_s(&self, class: &str, deadline_s: Option<f64>) -> Vec<f64> {
        match self.class_interner.get(class) {
            Some(class) => self.objectives[class as usize]
                .completion_objectives_s(deadline_s)
                .collect(),
            None => deadline_s.into_iter().collect(),
        }
    }

    /// Returns the index of a class, adding the class without objectives if it is new.
    pub(super) fn intern_class(&mut self, name: &str) -> ClassIndex {
        let index = self.class_interner.intern(name);
        if index as usize == self.objectives.len() {
            self.objectives.push(ServiceLevelObjectives::default());
        }
        ClassIndex(index)
    }

    /// Adds an objective from the settings.
    pub(super) fn add_objective(&mut self, objective: &Objective) {
        if objective.kind == "guarantee" {
            self.guarantee_objective_s = objective.target_s;
        }
        let Some(class) = &objective.class else {
            return;
        };
        let class = self.intern_class(class);
        let objectives = &mut self.objectives[class.as_usize()];
        match (objective.kind.as_str(), objective.target_s) {
            ("wait", Some(target_s)) => objectives.start_s.push(target_s),
            ("finished", Some(target_s)) => objectives.finish_s.push(target_s),
            ("deadline", _) => objectives
                .deadline_multiples
                .push(objective.times.unwrap_or(1.0)),
            _ => {}
        }
    }
}
