//! How values are written to the log and to snapshots.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;

/// Result of encoding or decoding.
pub type Result<T> = error::Result<T>;

/// Encodes a value.
///
/// # Errors
/// `Internal` when it cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))
}

/// Decodes a value; `what` names it in the error.
///
/// # Errors
/// `Storage` when the bytes are not such a value of this version.
pub fn decode<T: DeserializeOwned>(what: &str, data: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(data, bincode::config::standard())
        .map(|(value, _used)| value)
        .map_err(|err| error::Error::new(error::Kind::Storage, format!("{what}: {err}")))
}
