//! Messages between the system's processes: bincode frames over h2 streams.
//!
//! Every call is one stream with one frame each way. The answer may come much later, which makes
//! long polls cheap: a waiting call costs an open stream and no thread.

pub mod call;
pub mod frame;
pub mod pool;
pub mod server;
pub mod transport;

pub use frame::Frame;

use crate::error;

/// Result of a call.
pub type Result<T> = error::Result<T>;

/// Largest encoded frame.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Encodes a frame.
///
/// # Errors
/// `BodyTooLarge` when it is over `MAX_FRAME_BYTES`, `Internal` when it cannot be encoded.
pub fn encode(frame: &Frame) -> Result<bytes::Bytes> {
    let data = bincode::serde::encode_to_vec(frame, bincode::config::standard())
        .map_err(|err| error::Error::new(error::Kind::Internal, format!("encoding: {err}")))?;
    if data.len() > MAX_FRAME_BYTES {
        let detail = format!("a frame of {} bytes is over {MAX_FRAME_BYTES}", data.len());
        return Err(error::Error::new(error::Kind::BodyTooLarge, detail));
    }
    Ok(data.into())
}

/// Decodes a frame.
///
/// # Errors
/// `Malformed` when the bytes are not one whole frame.
pub fn decode(data: &[u8]) -> Result<Frame> {
    let limits = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let malformed = |detail: String| error::Error::new(error::Kind::Malformed, detail);
    let (frame, used) = bincode::serde::decode_from_slice(data, limits)
        .map_err(|err| malformed(format!("not a frame: {err}")))?;
    if used != data.len() {
        return Err(malformed(format!(
            "{} bytes after the frame",
            data.len() - used
        )));
    }
    Ok(frame)
}
