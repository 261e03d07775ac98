//! The messages on the wire: their types, encoding and validation.
//!
//! The wire has names of its own (`pieces`, `berth`, `baton` ...), which serde attributes in this
//! module map to the usual terms: task, machine, fencing token. All other code uses only the latter.

pub mod cloud;
pub mod ids;
pub mod job;
pub mod state;
pub mod worker;

use serde::{Serialize, de::DeserializeOwned};

/// The largest request body that is accepted, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Why a body was rejected.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The body is not a map.
    #[error("the body is not a MessagePack map")]
    NotAMap,
    /// The body is not valid MessagePack, or a field is missing or has the wrong type.
    #[error("{0}")]
    Malformed(String),
    /// A field's value is not allowed.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field's name on the wire.
        field: &'static str,
        /// Why the value is not allowed.
        reason: &'static str,
    },
}

/// Encodes a message as a MessagePack map with text keys.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("messages hold only plain data")
}

/// Decodes a MessagePack map. Any other value is rejected, including an array of the fields in order.
///
/// # Errors
/// The body is not a map, is not a message of this type, or has bytes after the map.
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
