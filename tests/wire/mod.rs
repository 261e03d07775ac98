//! What leaves a node, in the bytes that it has on the wire: a digest of all of it, in order, tells whether two
//! versions of the code behave the same.

use std::hash::{DefaultHasher, Hasher};

use dalelb::{
    coordination::Effect,
    protocol::state::Urgency,
    transport::{
        client::{HttpRequest, cloud_request, state_request, worker_request},
        mesh::{messages::encode_relayed_request, proto},
    },
};
use prost::Message;

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Channel {
    User,
    State,
    Cloud,
    Worker,
    MeshProgress,
    MeshStatus,
    MeshRevocation,
    MeshRenewals,
    MeshRelay,
    CellStatement,
    CellAnswer,
    /// To nobody: the node's rates change.
    Rates,
}

impl Channel {
    pub const fn name(self) -> &'static str {
        match self {
            Channel::User => "user",
            Channel::State => "state",
            Channel::Cloud => "cloud",
            Channel::Worker => "worker",
            Channel::MeshProgress => "mesh-progress",
            Channel::MeshStatus => "mesh-told",
            Channel::MeshRevocation => "mesh-revocation",
            Channel::MeshRenewals => "mesh-renewals",
            Channel::MeshRelay => "mesh-relay",
            Channel::CellStatement => "cell-statement",
            Channel::CellAnswer => "cell-answer",
            Channel::Rates => "rates",
        }
    }
}

/// A message as it leaves a node: where it goes, what is sent beside the body (a path, an address, a number),
/// and the body.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub channel: Channel,
    pub head: String,
    pub body: Vec<u8>,
}

impl Sent {
    fn new(channel: Channel, head: String, body: Vec<u8>) -> Self {
        Sent {
            channel,
            head,
            body,
        }
    }

    fn http(channel: Channel, request: HttpRequest, rest: String) -> Self {
        let head = format!("{} {} {rest}", request.method, request.path);
        Sent::new(channel, head, request.body)
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn of(effect: &Effect) -> Self {
        match effect {
            Effect::Respond(id, answer) => {
                let retry_after_s = answer.retry_after_s.unwrap_or(0);
                let head = format!("{id} {} {retry_after_s}", answer.status);
                Sent::new(Channel::User, head, answer.body.clone())
            }
            Effect::CallStateService {
                request,
                urgency,
                timeout_ms,
                ..
            } => {
                let urgency = match urgency {
                    Urgency::Vital => 0,
                    Urgency::Prompt => 1,
                    Urgency::Normal => 2,
                };
                let rest = format!("{urgency} {timeout_ms}");
                Sent::http(Channel::State, state_request(request), rest)
            }
            Effect::CallCloud {
                request,
                timeout_ms,
                ..
            } => Sent::http(
                Channel::Cloud,
                cloud_request(request),
                timeout_ms.to_string(),
            ),
            Effect::CallWorker {
                tag,
                addr,
                orders,
                timeout_ms,
            } => {
                let rest = format!("{} {addr} {timeout_ms}", tag.machine);
                Sent::http(Channel::Worker, worker_request(orders.as_ref()), rest)
            }
            Effect::AnnounceProgress(progress) => {
                let message = proto::Progress::from(progress);
                Sent::new(
                    Channel::MeshProgress,
                    String::new(),
                    message.encode_to_vec(),
                )
            }
            Effect::PublishMemberStatus(news) => {
                let message = proto::Told::from(&**news);
                Sent::new(Channel::MeshStatus, String::new(), message.encode_to_vec())
            }
            Effect::RequestRevocation {
                label, revocation, ..
            } => {
                let message = proto::Revocation::from(revocation.clone());
                let body = message.encode_to_vec();
                Sent::new(Channel::MeshRevocation, label.clone(), body)
            }
            Effect::RespondRevocation(id, word) => {
                let message = proto::Renewals::from(word.clone());
                let body = message.encode_to_vec();
                Sent::new(Channel::MeshRenewals, id.to_string(), body)
            }
            Effect::RelayRequest {
                id,
                label,
                request: ask,
            } => {
                let message =
                    encode_relayed_request(ask).expect("only users' requests are relayed");
                let head = format!("{id} {label}");
                Sent::new(Channel::MeshRelay, head, message.encode_to_vec())
            }
            Effect::SendCellReport {
                cell,
                report: statement,
                ..
            } => {
                let message = proto::CellStatement::from((**statement).clone());
                let body = message.encode_to_vec();
                Sent::new(Channel::CellStatement, cell.clone(), body)
            }
            Effect::RespondCellReport(id, answer) => {
                let answer = answer.clone().map(proto::CellAnswer::from);
                let body = answer.map(|answer| answer.encode_to_vec());
                let head = format!("{id} {}", body.is_some());
                Sent::new(Channel::CellAnswer, head, body.unwrap_or_default())
            }
            Effect::SetLeadership(leads) => {
                Sent::new(Channel::Rates, leads.to_string(), Vec::new())
            }
        }
    }
}

/// A digest over all that the nodes of a history sent, in order.
#[derive(Default)]
pub struct Trace {
    hasher: DefaultHasher,
}

impl Trace {
    /// A node sends something at a time of the history's clock.
    pub fn add(&mut self, now: u64, node: usize, life: u64, sent: &Sent) {
        for number in [now, node as u64, life, sent.channel as u64] {
            self.hasher.write_u64(number);
        }
        for bytes in [sent.head.as_bytes(), &sent.body] {
            self.hasher.write_u64(bytes.len() as u64);
            self.hasher.write(bytes);
        }
    }

    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }
}
