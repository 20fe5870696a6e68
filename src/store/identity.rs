//! The member that a data folder belongs to, and the data of the member that had it before.
//!
//! A folder keeps one identity for all its life. When the group has replaced a member, its files
//! are set aside under names with a prefix, and the folder gets a new identity.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error;
use crate::raft::Id;
use crate::raft::members;
use crate::raft::message;
use crate::store::{Record, Result, batch, disk, encode_error, segment_name};

/// Name of the file that holds the folder's `Identity`.
const IDENTITY_FILE: &str = "identity.json";

/// Version of the file formats in the folder.
const FORMAT_VERSION: u32 = 1;

/// Prefix of the files of a member that was replaced.
const ASIDE_PREFIX: &str = "replaced-";

/// The member that a data folder belongs to, and the format version of its files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub id: Id,
    pub format: u32,
    /// Address of the member when the folder was initialized; `None` in older folders and if it was
    /// not known.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Random number of the start of the process that initialized the folder.
    #[serde(default)]
    pub start: u64,
    /// Wall-clock time in milliseconds at which the data of an earlier member was set aside.
    #[serde(default)]
    pub set_aside_ms: Option<u64>,
}

impl Identity {
    /// Creates an identity that the member at an address has never used before.
    pub fn random(addr: SocketAddr) -> Self {
        Self {
            addr: Some(addr),
            ..Self::from(members::random_id())
        }
    }
}

impl From<Id> for Identity {
    fn from(id: Id) -> Self {
        Self {
            id,
            format: FORMAT_VERSION,
            addr: None,
            start: rand::random(),
            set_aside_ms: None,
        }
    }
}

/// Initializes a folder for a founding member, given the group's initial membership, or for a
/// member that joins later, without one. The identity is durable before this returns.
///
/// # Errors
/// `Storage` if the folder already belongs to a member or cannot be written.
pub fn init<D: disk::Disk>(
    disk: &mut D,
    identity: impl Into<Identity>,
    initial: Option<members::Members>,
) -> Result<()> {
    if has_identity(disk)? {
        return Err(error::Error::new(
            error::Kind::Storage,
            format!(
                "{}: the folder already belongs to a member",
                disk.display_path(IDENTITY_FILE)
            ),
        ));
    }
    clear_leftovers(disk)?;
    if let Some(members) = initial {
        let payload = message::Payload::Members(members);
        let first = message::Entry {
            index: 1,
            term: 0,
            payload,
        };
        let records = [Record::Append(vec![first])];
        disk.append(&segment_name(1), &batch::encode(1, &records)?)?;
        disk.sync(&segment_name(1))?;
    }
    let text = serde_json::to_vec(&identity.into()).map_err(encode_error)?;
    disk.replace(IDENTITY_FILE, &text)
}

/// Returns the identity of the folder, if it has been initialized.
///
/// # Errors
/// `Storage` if the folder cannot be read.
pub fn identity<D: disk::Disk>(disk: &mut D) -> Result<Option<Identity>> {
    if !has_identity(disk)? {
        return Ok(None);
    }
    read(disk).map(Some)
}

/// Sets the files of the folder's member aside, so that the folder can be initialized for a new
/// member and the old one cannot come back. Files that were set aside before are removed, and also
/// the new ones if they take more than `max_bytes`.
fn set_aside<D: disk::Disk>(disk: &mut D, max_bytes: u64) -> Result<()> {
    if has_identity(disk)? {
        remove_set_aside(disk)?;
        // The identity goes first: without it, the other files belong to no member.
        disk.rename(IDENTITY_FILE, &aside_name(IDENTITY_FILE))?;
    }
    clear_leftovers(disk)?;
    let mut bytes = 0;
    for name in names(disk, true)? {
        bytes += disk.size(&name)?;
    }
    if bytes > max_bytes {
        log::warn!(bytes = bytes, limit = max_bytes; "the data of the replaced member is too large to keep, removing it");
        remove_set_aside(disk)?;
    }
    Ok(())
}

/// Sets the files of the folder's member aside and initializes the folder for a member that joins.
///
/// # Errors
/// `Storage` if the disk fails; the call can be repeated.
pub fn renew<D: disk::Disk>(
    disk: &mut D,
    identity: Identity,
    now_ms: u64,
    max_bytes: u64,
) -> Result<()> {
    set_aside(disk, max_bytes)?;
    let set_aside_ms = Some(now_ms);
    let identity = Identity {
        set_aside_ms,
        ..identity
    };
    init(disk, identity, None)
}

/// Removes the files that were set aside.
///
/// # Errors
/// `Storage` if the disk fails.
pub fn remove_set_aside<D: disk::Disk>(disk: &mut D) -> Result<()> {
    for name in names(disk, true)? {
        disk.remove(&name)?;
    }
    Ok(())
}

/// Checks that the folder belongs to a member.
///
/// # Errors
/// `Storage` if it belongs to no member or another one.
pub(super) fn check<D: disk::Disk>(disk: &mut D, id: Id) -> Result<()> {
    let storage_error = |detail: String| error::Error::new(error::Kind::Storage, detail);
    if !has_identity(disk)? {
        return Err(storage_error(format!(
            "{}: not found; initialize the folder with `oriolereel init`, or replace a member that \
             lost its disk with `oriolereel member`",
            disk.display_path(IDENTITY_FILE)
        )));
    }
    let identity = read(disk)?;
    if identity.id != id {
        let name = disk.display_path(IDENTITY_FILE);
        return Err(storage_error(format!(
            "{name}: the folder belongs to member {}, not {id}",
            identity.id
        )));
    }
    Ok(())
}

/// Deals with files that belong to no member: those of a replaced member whose identity is set aside
/// already are set aside too, those of an initialization that was interrupted are removed.
fn clear_leftovers<D: disk::Disk>(disk: &mut D) -> Result<()> {
    let kept = names(disk, true)?;
    let is_set_aside = kept.contains(&aside_name(IDENTITY_FILE));
    for name in names(disk, false)? {
        if is_set_aside && !kept.contains(&aside_name(&name)) {
            disk.rename(&name, &aside_name(&name))?;
        } else {
            disk.remove(&name)?;
        }
    }
    Ok(())
}

fn has_identity<D: disk::Disk>(disk: &D) -> Result<bool> {
    Ok(disk.list()?.iter().any(|name| name == IDENTITY_FILE))
}

/// Returns the names of the files that are, or are not, set aside.
fn names<D: disk::Disk>(disk: &D, set_aside: bool) -> Result<Vec<String>> {
    let all = disk.list()?.into_iter();
    Ok(all
        .filter(|name| name.starts_with(ASIDE_PREFIX) == set_aside)
        .collect())
}

fn aside_name(name: &str) -> String {
    format!("{ASIDE_PREFIX}{name}")
}

fn read<D: disk::Disk>(disk: &mut D) -> Result<Identity> {
    let storage_error = |detail: String| error::Error::new(error::Kind::Storage, detail);
    let text = disk.read(IDENTITY_FILE)?;
    let identity: Identity = serde_json::from_slice(&text)
        .map_err(|err| storage_error(format!("{}: {err}", disk.display_path(IDENTITY_FILE))))?;
    if identity.format != FORMAT_VERSION {
        let name = disk.display_path(IDENTITY_FILE);
        return Err(storage_error(format!(
            "{name}: format version {} is not supported, expected {FORMAT_VERSION}",
            identity.format
        )));
    }
    Ok(identity)
}
