//! Encoding of batches and snapshot files.
//!
//! Both consist of frames: magic bytes, length, checksum, sequence number and payload.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{Record, Result, encode_error};

const MAGIC: [u8; 4] = *b"OrB1";
const HEADER_BYTES: usize = 20;

/// Encodes a group of records as one batch.
///
/// # Errors
/// `Storage` if the records cannot be encoded.
pub fn encode(seq: u64, records: &[Record]) -> Result<Vec<u8>> {
    let payload = bincode::serde::encode_to_vec(records, bincode::config::standard())
        .map_err(encode_error)?;
    Ok(encode_frame(seq, &payload))
}

/// Decodes the batch at the start of the bytes. Returns its sequence number, its records and its
/// length in bytes, or `None` if it is incomplete or damaged.
pub fn decode(bytes: &[u8]) -> Option<(u64, Vec<Record>, usize)> {
    let (seq, payload) = decode_frame(bytes)?;
    let (records, _used) =
        bincode::serde::decode_from_slice(payload, bincode::config::standard()).ok()?;
    Some((seq, records, HEADER_BYTES + payload.len()))
}

/// Reports whether a valid batch with a sequence number above `seq` starts anywhere in the bytes.
pub fn has_later(bytes: &[u8], seq: u64) -> bool {
    let candidates = bytes.windows(MAGIC.len()).enumerate();
    candidates
        .filter(|(_at, window)| *window == MAGIC)
        .any(|(at, _window)| decode_frame(&bytes[at..]).is_some_and(|(found, _)| found > seq))
}

/// Encodes a snapshot file.
///
/// # Errors
/// `Storage` if the header cannot be encoded.
pub fn encode_snapshot<H: Serialize>(header: &H, data: &Bytes) -> Result<Vec<u8>> {
    let header =
        bincode::serde::encode_to_vec(header, bincode::config::standard()).map_err(encode_error)?;
    let mut out = encode_frame(0, &header);
    out.extend_from_slice(&encode_frame(1, data));
    Ok(out)
}

/// Decodes a snapshot file, or returns `None` if it is damaged.
pub fn decode_snapshot<H: DeserializeOwned>(bytes: &[u8]) -> Option<(H, Bytes)> {
    let (_, header) = decode_frame(bytes)?;
    let (_, data) = decode_frame(&bytes[HEADER_BYTES + header.len()..])?;
    let (header, _used) =
        bincode::serde::decode_from_slice(header, bincode::config::standard()).ok()?;
    Some((header, Bytes::copy_from_slice(data)))
}

fn encode_frame(seq: u64, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(seq, payload).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(payload);
    out
}

fn decode_frame(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let len = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let expected_checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let seq = u64::from_le_bytes(header[12..20].try_into().ok()?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(len)?)?;
    (checksum(seq, payload) == expected_checksum).then_some((seq, payload))
}

fn checksum(seq: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
