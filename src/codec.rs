//! Encoding of values in the log and in snapshots.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;

/// Result of encoding or decoding.
pub type Result<T> = error::Result<T>;

/// Maximum memory that the lengths in an encoded value may ask for. Values of the log and snapshots
/// stay far below it, and memory that is asked for but not read is not used.
const MAX_DECODED_BYTES: usize = 1 << 30;

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
    let limits = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    bincode::serde::decode_from_slice(data, limits)
        .map(|(value, _used)| value)
        .map_err(|err| {
            error::Error::new(error::Kind::Storage, format!("cannot decode {what}: {err}"))
        })
}
