//! Conversions between the mesh's messages and the types that the owner works with.

use super::proto::{self, Renewals, Told, request::Ask as Asked};
use crate::{
    coordination::{
        Ask, Class, Counts, JobProgress, News, Progress, Renewal, Revocation, SilentMachine,
        TurnTold, Word,
    },
    protocol::{self, ids::JobId},
};

impl From<proto::Progress> for Progress {
    fn from(message: proto::Progress) -> Self {
        let jobs = message.jobs.into_iter().map(|job| JobProgress {
            job: JobId(job.job),
            done: job.done,
            running: job.running,
        });
        Progress {
            term: message.term,
            leader: message.leader,
            jobs: jobs.collect(),
            turns: message.turns.into_iter().map(turn).collect(),
        }
    }
}

impl From<&Progress> for proto::Progress {
    fn from(progress: &Progress) -> Self {
        let jobs = progress.jobs.iter().map(|job| proto::JobProgress {
            job: job.job.0,
            done: job.done,
            running: job.running,
        });
        proto::Progress {
            term: progress.term,
            leader: progress.leader.clone(),
            jobs: jobs.collect(),
            turns: progress.turns.iter().map(turn_message).collect(),
        }
    }
}

fn turn(turn: proto::Turn) -> TurnTold {
    let class = Class {
        team: turn.team,
        class: turn.class,
    };
    (JobId(turn.job), class, turn.in_ms)
}

fn turn_message((job, class, in_ms): &TurnTold) -> proto::Turn {
    proto::Turn {
        job: job.0,
        team: class.team.clone(),
        class: class.class.clone(),
        in_ms: *in_ms,
    }
}

impl From<Told> for News {
    fn from(message: Told) -> Self {
        let of = |demand: &proto::Demand| Class {
            team: demand.team.clone(),
            class: demand.class.clone(),
        };
        let counts = |demand: &proto::Demand| Counts {
            came: demand.came,
            accepted: demand.accepted,
            in_time: demand.in_time,
            sent_away: demand.sent_away,
            no_turn: demand.no_turn,
            given_up: demand.given_up,
        };
        let demands = message.demands.iter();
        News {
            label: message.label,
            seq: message.table,
            takes: message.takes,
            late: message.late,
            demands: demands.clone().map(|each| (of(each), each.rate)).collect(),
            counts: demands.map(|each| (of(each), counts(each))).collect(),
            turns: message.turns.into_iter().map(turn).collect(),
        }
    }
}

impl From<&News> for Told {
    fn from(news: &News) -> Self {
        let demands = news.counts.iter().map(|(class, counts)| {
            let mut asked = news.demands.iter();
            let rate = asked.find_map(|(other, rate)| (other == class).then_some(*rate));
            proto::Demand {
                team: class.team.clone(),
                class: class.class.clone(),
                rate: rate.unwrap_or(0.0),
                came: counts.came,
                accepted: counts.accepted,
                in_time: counts.in_time,
                sent_away: counts.sent_away,
                no_turn: counts.no_turn,
                given_up: counts.given_up,
            }
        });
        Told {
            label: news.label.clone(),
            table: news.seq,
            takes: news.takes,
            late: news.late,
            demands: demands.collect(),
            turns: news.turns.iter().map(turn_message).collect(),
        }
    }
}

impl From<proto::Revocation> for Revocation {
    fn from(message: proto::Revocation) -> Self {
        let machines = message.machines.into_iter().map(|machine| SilentMachine {
            name: machine.name,
            session: machine.session,
            inquiry: machine.inquiry,
        });
        Revocation {
            term: message.term,
            machines: machines.collect(),
            asked_ms: message.asked_ms,
        }
    }
}

impl From<Revocation> for proto::Revocation {
    fn from(revocation: Revocation) -> Self {
        let machines = revocation.machines.into_iter();
        let machines = machines.map(|machine| proto::SilentMachine {
            name: machine.name,
            session: machine.session,
            inquiry: machine.inquiry,
        });
        proto::Revocation {
            term: revocation.term,
            machines: machines.collect(),
            asked_ms: revocation.asked_ms,
        }
    }
}

impl From<Renewals> for Word {
    fn from(message: Renewals) -> Self {
        let renewals = message.renewals.into_iter().map(|renewal| Renewal {
            machine: renewal.machine,
            age_ms: renewal.age_ms,
            inquiry: renewal.inquiry,
        });
        Word {
            renewals: renewals.collect(),
            hears: message.hears as usize,
        }
    }
}

impl From<Word> for Renewals {
    fn from(word: Word) -> Self {
        let renewals = word.renewals.into_iter().map(|renewal| proto::Renewal {
            machine: renewal.machine,
            age_ms: renewal.age_ms,
            inquiry: renewal.inquiry,
        });
        Renewals {
            renewals: renewals.collect(),
            hears: word.hears as u32,
        }
    }
}

/// A user's request as a member is asked to answer it; `None`: no user asks that.
pub fn relayed_request(ask: &Ask) -> Option<proto::Request> {
    let asked = match ask {
        Ask::Submit(submission) => Asked::Submit(protocol::encode(&**submission)),
        Ask::Poll(job) => Asked::Poll(job.0),
        Ask::Cancel(job) => Asked::Cancel(job.0),
        Ask::CheckIn(_) | Ask::Ready | Ask::Relayed(_) => return None,
    };
    Some(proto::Request { ask: Some(asked) })
}
