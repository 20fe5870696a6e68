//! An in-memory disk that can crash and fail.

use std::collections::BTreeMap;
use std::ops::Range;

use oriolereel::error;
use oriolereel::store::{self, disk};

/// A disk whose bytes survive a crash only if they were synced.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Number of synced bytes of each file.
    pub synced: BTreeMap<String, usize>,
    /// Operations that still succeed before the disk fails; `None` if it does not fail.
    pub operations_left: Option<u32>,
    /// Number of operations so far.
    pub operations: u32,
    /// Numbers of the operations that find the disk full.
    pub full: Range<u32>,
    /// Bytes of an append to the full disk that are stored nevertheless.
    pub kept_bytes: usize,
}

impl Disk {
    fn is_full(&self) -> bool {
        self.full.contains(&self.operations)
    }

    /// Counts an operation; fails if none is left or the disk is full.
    pub fn count_operation(&mut self) -> error::Result<()> {
        let is_full = self.is_full();
        self.operations += 1;
        if is_full {
            return Err(error::Error::new(
                error::Kind::Storage,
                "simulated full disk",
            ));
        }
        if let Some(left) = &mut self.operations_left {
            if *left == 0 {
                return Err(error::Error::new(
                    error::Kind::Storage,
                    "simulated disk failure",
                ));
            }
            *left -= 1;
        }
        Ok(())
    }

    /// Discards unsynced bytes of each file, except the first `kept_unsynced` modulo their number.
    pub fn crash(&mut self, kept_unsynced: usize) {
        self.operations_left = None;
        self.full = 0..0;
        for (name, data) in &mut self.files {
            let kept = self.synced.get(name).copied().unwrap_or(0);
            let lost = data.len() - kept;
            data.truncate(kept + if lost == 0 { 0 } else { kept_unsynced % lost });
            let len = data.len();
            self.synced.insert(name.clone(), len);
        }
    }
}

impl disk::Disk for Disk {
    fn list(&self) -> store::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> store::Result<Vec<u8>> {
        Ok(self.files.get(name).cloned().unwrap_or_default())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        let kept = if self.is_full() {
            self.kept_bytes.min(bytes.len())
        } else {
            bytes.len()
        };
        self.files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(&bytes[..kept]);
        self.count_operation()
    }

    fn sync(&mut self, name: &str) -> store::Result<()> {
        self.count_operation()?;
        let len = self.files.get(name).map_or(0, Vec::len);
        self.synced.insert(name.to_owned(), len);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        self.count_operation()?;
        self.files.insert(name.to_owned(), bytes.to_vec());
        self.synced.insert(name.to_owned(), bytes.len());
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> store::Result<()> {
        self.count_operation()?;
        if let Some(data) = self.files.get_mut(name) {
            data.truncate(bytes as usize);
        }
        self.synced.insert(name.to_owned(), bytes as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> store::Result<()> {
        self.count_operation()?;
        if let Some(data) = self.files.remove(from) {
            self.synced.remove(from);
            self.synced.insert(to.to_owned(), data.len());
            self.files.insert(to.to_owned(), data);
        }
        Ok(())
    }

    fn size(&self, name: &str) -> store::Result<u64> {
        Ok(self.files.get(name).map_or(0, Vec::len) as u64)
    }

    fn remove(&mut self, name: &str) -> store::Result<()> {
        self.count_operation()?;
        self.files.remove(name);
        self.synced.remove(name);
        Ok(())
    }

    fn display_path(&self, name: &str) -> String {
        format!("fake/{name}")
    }
}
