//! The messages that a node sends, in their wire format. A digest of all of them, in order, shows whether two versions
//! of the code behave the same.

use std::hash::{DefaultHasher, Hasher};

use dalelb::{
    coordination::Effect,
    protocol::state::StateRequestPriority,
    transport::{
        client::{HttpRequest, cloud_request, state_request, worker_request},
        mesh::{messages::encode_relayed_request, proto},
    },
};
use prost::Message;

/// The kind of receiver of a message; between nodes and between cells, the type of the message.
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
    /// Not a message: the node switches between the rates of a leader and of a follower.
    Rates,
}

impl Channel {
    /// The name of the channel in the golden files.
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

/// A message as a node sends it: its channel, what is sent besides the body (such as a path, an address or a number),
/// and the body.
#[derive(Clone, Debug, PartialEq)]
pub struct SentMessage {
    pub channel: Channel,
    pub head: String,
    pub body: Vec<u8>,
}

impl SentMessage {
    fn new(channel: Channel, head: String, body: Vec<u8>) -> Self {
        SentMessage {
            channel,
            head,
            body,
        }
    }

    fn http(channel: Channel, request: HttpRequest, details: String) -> Self {
        let head = format!("{} {} {details}", request.method, request.path);
        SentMessage::new(channel, head, request.body)
    }

    /// The message that an effect sends.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn from_effect(effect: &Effect) -> Self {
        match effect {
            Effect::Respond(id, response) => {
                let retry_after_s = response.retry_after_s.unwrap_or(0);
                let head = format!("{id} {} {retry_after_s}", response.status);
                SentMessage::new(Channel::User, head, response.body.clone())
            }
            Effect::CallStateService {
                request,
                priority,
                timeout_ms,
                ..
            } => {
                let priority = match priority {
                    StateRequestPriority::Vital => 0,
                    StateRequestPriority::Prompt => 1,
                    StateRequestPriority::Normal => 2,
                };
                let details = format!("{priority} {timeout_ms}");
                SentMessage::http(Channel::State, state_request(request), details)
            }
            Effect::CallCloud {
                request,
                timeout_ms,
                ..
            } => SentMessage::http(
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
                let details = format!("{} {addr} {timeout_ms}", tag.machine);
                SentMessage::http(Channel::Worker, worker_request(orders.as_ref()), details)
            }
            Effect::AnnounceProgress(progress) => {
                let message = proto::Progress::from(progress);
                SentMessage::new(
                    Channel::MeshProgress,
                    String::new(),
                    message.encode_to_vec(),
                )
            }
            Effect::PublishMemberStatus(status) => {
                let message = proto::Told::from(&**status);
                SentMessage::new(Channel::MeshStatus, String::new(), message.encode_to_vec())
            }
            Effect::RequestRevocation {
                label, revocation, ..
            } => {
                let message = proto::Revocation::from(revocation.clone());
                let body = message.encode_to_vec();
                SentMessage::new(Channel::MeshRevocation, label.clone(), body)
            }
            Effect::RespondRevocation(id, reply) => {
                let message = proto::Renewals::from(reply.clone());
                let body = message.encode_to_vec();
                SentMessage::new(Channel::MeshRenewals, id.to_string(), body)
            }
            Effect::RelayRequest {
                id,
                label,
                request: relayed,
            } => {
                let message =
                    encode_relayed_request(relayed).expect("only users' requests are relayed");
                let head = format!("{id} {label}");
                SentMessage::new(Channel::MeshRelay, head, message.encode_to_vec())
            }
            Effect::SendCellReport {
                cell,
                report: cell_report,
                ..
            } => {
                let message = proto::CellStatement::from((**cell_report).clone());
                let body = message.encode_to_vec();
                SentMessage::new(Channel::CellStatement, cell.clone(), body)
            }
            Effect::RespondCellReport(id, grants) => {
                let message = grants.clone().map(proto::CellAnswer::from);
                let body = message.map(|message| message.encode_to_vec());
                let head = format!("{id} {}", body.is_some());
                SentMessage::new(Channel::CellAnswer, head, body.unwrap_or_default())
            }
            Effect::SetLeadership(is_leader) => {
                SentMessage::new(Channel::Rates, is_leader.to_string(), Vec::new())
            }
        }
    }
}

/// A digest of all messages that the nodes of a simulation sent, in order.
#[derive(Default)]
pub struct MessageDigest {
    hasher: DefaultHasher,
}

impl MessageDigest {
    /// Adds a message that a node's process of the given incarnation sent at the simulated time `now`, in milliseconds.
    pub fn add(&mut self, now: u64, node: usize, incarnation: u64, sent: &SentMessage) {
        for number in [now, node as u64, incarnation, sent.channel as u64] {
            self.hasher.write_u64(number);
        }
        for bytes in [sent.head.as_bytes(), &sent.body] {
            self.hasher.write_u64(bytes.len() as u64);
            self.hasher.write(bytes);
        }
    }

    /// The digest of the messages so far.
    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }
}
