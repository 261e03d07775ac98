//! The wire: message types, their odd field names, and the checks made at the door.
//!
//! The outside world's vocabulary (`pieces`, `berth`, `baton` ...) stops in this module. Inside,
//! the field's own terms are used: job, task, attempt, machine, zone, session, term.

pub mod cloud;
pub mod ids;
pub mod job;
pub mod state;
pub mod worker;

use serde::{Serialize, de::DeserializeOwned};

/// The largest request body that is read.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Why a body was refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// It is not a map.
    #[error("the body is not a MessagePack map")]
    NotAMap,
    /// It is no MessagePack, or a field is missing or of another type.
    #[error("{0}")]
    Malformed(String),
    /// A field's value is not allowed.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field, by its name on the wire.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// Encodes a message as a MessagePack map with text keys.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("messages hold only plain data")
}

/// Decodes a MessagePack map; any other value is refused, also one that has the fields in order.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(DecodeError::NotAMap),
    }
    let mut reader = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    let message =
        T::deserialize(&mut reader).map_err(|error| DecodeError::Malformed(error.to_string()))?;
    if reader.get_ref().position() != body.len() as u64 {
        return Err(DecodeError::Malformed("bytes after the map".into()));
    }
    Ok(message)
}
