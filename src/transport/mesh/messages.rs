//! Conversions between the gRPC messages of nodes and the types of the event loop.

use super::proto::{self, Renewals, Told, request::Ask};
use crate::{
    coordination::{
        AdmissionCounts, ApiRequest, JobProgress, LeaderAnnouncement, LeaseRenewalAge,
        LeaseRevocation, MemberStatus, RenewalReply, ReservationNotice, UnresponsiveMachine,
        WorkloadClassName,
    },
    protocol::{self, ids::JobId},
};

impl From<proto::Progress> for LeaderAnnouncement {
    fn from(message: proto::Progress) -> Self {
        let jobs = message.jobs.into_iter().map(|job| JobProgress {
            job: JobId(job.job),
            done: job.done,
            running: job.running,
            may_run_unreported: job.may_run_unreported,
        });
        LeaderAnnouncement {
            term: message.term,
            leader: message.leader,
            sent_at_ms: (message.sent_ms > 0).then_some(message.sent_ms),
            progress_at_ms: (message.progress_ms > 0).then_some(message.progress_ms),
            jobs: jobs.collect(),
            reservations: message.turns.into_iter().map(decode_reservation).collect(),
        }
    }
}

impl From<&LeaderAnnouncement> for proto::Progress {
    fn from(announcement: &LeaderAnnouncement) -> Self {
        let jobs = announcement.jobs.iter().map(|job| proto::JobProgress {
            job: job.job.0,
            done: job.done,
            running: job.running,
            may_run_unreported: job.may_run_unreported,
        });
        proto::Progress {
            term: announcement.term,
            leader: announcement.leader.clone(),
            sent_ms: announcement.sent_at_ms.unwrap_or(0),
            progress_ms: announcement.progress_at_ms.unwrap_or(0),
            jobs: jobs.collect(),
            turns: announcement
                .reservations
                .iter()
                .map(encode_reservation)
                .collect(),
        }
    }
}

fn decode_reservation(turn: proto::Turn) -> ReservationNotice {
    let class = WorkloadClassName {
        team: turn.team,
        class: turn.class,
    };
    (JobId(turn.job), class, turn.in_ms)
}

fn encode_reservation((job, class, in_ms): &ReservationNotice) -> proto::Turn {
    proto::Turn {
        job: job.0,
        team: class.team.clone(),
        class: class.class.clone(),
        in_ms: *in_ms,
    }
}

impl From<Told> for MemberStatus {
    fn from(message: Told) -> Self {
        let class = |demand: &proto::Demand| WorkloadClassName {
            team: demand.team.clone(),
            class: demand.class.clone(),
        };
        let counts = |demand: &proto::Demand| AdmissionCounts {
            arrived: demand.came,
            accepted: demand.accepted,
            accepted_promptly: demand.in_time,
            deferred: demand.sent_away,
            deferred_unreserved: demand.no_turn,
            abandoned: demand.given_up,
        };
        let demands = message.demands.iter();
        MemberStatus {
            label: message.label,
            quotas_seq: message.table,
            capacity_per_s: message.takes,
            lateness: message.late,
            demands: demands
                .clone()
                .map(|demand| (class(demand), demand.rate))
                .collect(),
            counts: demands
                .map(|demand| (class(demand), counts(demand)))
                .collect(),
            reservations: message.turns.into_iter().map(decode_reservation).collect(),
        }
    }
}

impl From<&MemberStatus> for Told {
    fn from(status: &MemberStatus) -> Self {
        let demands = status.counts.iter().map(|(class, counts)| {
            let mut demands = status.demands.iter();
            let rate = demands.find_map(|(other, rate)| (other == class).then_some(*rate));
            proto::Demand {
                team: class.team.clone(),
                class: class.class.clone(),
                rate: rate.unwrap_or(0.0),
                came: counts.arrived,
                accepted: counts.accepted,
                in_time: counts.accepted_promptly,
                sent_away: counts.deferred,
                no_turn: counts.deferred_unreserved,
                given_up: counts.abandoned,
            }
        });
        Told {
            label: status.label.clone(),
            table: status.quotas_seq,
            takes: status.capacity_per_s,
            late: status.lateness,
            demands: demands.collect(),
            turns: status.reservations.iter().map(encode_reservation).collect(),
        }
    }
}

impl From<proto::Revocation> for LeaseRevocation {
    fn from(message: proto::Revocation) -> Self {
        let machines = message
            .machines
            .into_iter()
            .map(|machine| UnresponsiveMachine {
                name: machine.name,
                incarnation: machine.session,
                is_inquiry: machine.inquiry,
            });
        LeaseRevocation {
            term: message.term,
            machines: machines.collect(),
            requested_at_ms: message.asked_ms,
        }
    }
}

impl From<LeaseRevocation> for proto::Revocation {
    fn from(revocation: LeaseRevocation) -> Self {
        let machines = revocation.machines.into_iter();
        let machines = machines.map(|machine| proto::SilentMachine {
            name: machine.name,
            session: machine.incarnation,
            inquiry: machine.is_inquiry,
        });
        proto::Revocation {
            term: revocation.term,
            machines: machines.collect(),
            asked_ms: revocation.requested_at_ms,
        }
    }
}

impl From<Renewals> for RenewalReply {
    fn from(message: Renewals) -> Self {
        let renewals = message.renewals.into_iter().map(|renewal| LeaseRenewalAge {
            machine: renewal.machine,
            age_ms: renewal.age_ms,
            is_inquiry: renewal.inquiry,
        });
        RenewalReply {
            renewals: renewals.collect(),
            reporting_workers: message.hears as usize,
        }
    }
}

impl From<RenewalReply> for Renewals {
    fn from(reply: RenewalReply) -> Self {
        let renewals = reply.renewals.into_iter().map(|renewal| proto::Renewal {
            machine: renewal.machine,
            age_ms: renewal.age_ms,
            inquiry: renewal.is_inquiry,
        });
        Renewals {
            renewals: renewals.collect(),
            hears: reply.reporting_workers as u32,
        }
    }
}

/// Encodes a user's request for relaying to a member; `None` for requests that are not from users.
pub fn encode_relayed_request(request: &ApiRequest) -> Option<proto::Request> {
    let ask = match request {
        ApiRequest::Submit(submission) => Ask::Submit(protocol::encode(&**submission)),
        ApiRequest::Poll(job) => Ask::Poll(job.0),
        ApiRequest::Cancel(job) => Ask::Cancel(job.0),
        ApiRequest::Heartbeat(_) | ApiRequest::Readiness | ApiRequest::Relayed(_) => return None,
    };
    Some(proto::Request { ask: Some(ask) })
}
