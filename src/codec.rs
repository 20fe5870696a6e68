//! Encoding of values in the log and in snapshots.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;

/// Result of encoding or decoding.
pub type Result<T> = error::Result<T>;

/// Encodes a value.
///
/// # Errors
/// Returns `Internal` if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))
}

/// Decodes a value; an error calls the value `what`.
///
/// # Errors
/// Returns `Storage` if the bytes are not a value of this type as this version encodes it.
pub fn decode<T: DeserializeOwned>(what: &str, data: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(data, bincode::config::standard())
        .map(|(value, _used)| value)
        .map_err(|err| {
            error::Error::new(error::Kind::Storage, format!("cannot decode {what}: {err}"))
        })
}
