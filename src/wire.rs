//! Messages between the system's processes: bincode frames over h2 streams.
//!
//! Each call is one stream that carries one frame in each direction. The answer may be sent much
//! later, so a long poll is cheap: it holds a stream open but no thread.

pub mod call;
pub mod frame;
mod inbound;
pub mod links;
mod paced;
pub mod pool;
pub mod server;
pub mod transport;

pub use frame::Frame;

use crate::error;

/// Result of a call.
pub type Result<T> = error::Result<T>;

/// Maximum size of an encoded frame.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Encodes a frame.
///
/// # Errors
/// Returns `BodyTooLarge` if the encoded frame exceeds `MAX_FRAME_BYTES`, or `Internal` if it
/// cannot be encoded.
pub fn encode(frame: &Frame) -> Result<bytes::Bytes> {
    let data =
        bincode::serde::encode_to_vec(frame, bincode::config::standard()).map_err(|err| {
            error::Error::new(
                error::Kind::Internal,
                format!("cannot encode a frame: {err}"),
            )
        })?;
    if data.len() > MAX_FRAME_BYTES {
        let detail = format!(
            "frame of {} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes",
            data.len()
        );
        return Err(error::Error::new(error::Kind::BodyTooLarge, detail));
    }
    Ok(data.into())
}

/// Decodes a frame.
///
/// # Errors
/// Returns `Malformed` if the bytes are not exactly one complete frame.
pub fn decode(data: &[u8]) -> Result<Frame> {
    let limits = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let malformed = |detail: String| error::Error::new(error::Kind::Malformed, detail);
    let (frame, used) = bincode::serde::decode_from_slice(data, limits)
        .map_err(|err| malformed(format!("cannot decode a frame: {err}")))?;
    if used != data.len() {
        return Err(malformed(format!(
            "{} unexpected bytes after the frame",
            data.len() - used
        )));
    }
    Ok(frame)
}
