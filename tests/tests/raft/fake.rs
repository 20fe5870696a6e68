//! A fake disk.

use std::collections::BTreeMap;

use oriolereel::error;
use oriolereel::store::{self, disk};

/// A disk whose bytes last only once they are synced.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes of each file that would survive a crash.
    pub synced: BTreeMap<String, usize>,
    /// Operations until the disk fails.
    pub fuse: Option<u32>,
}

impl Disk {
    pub fn burn(&mut self) -> error::Result<()> {
        if let Some(left) = &mut self.fuse {
            if *left == 0 {
                return Err(error::Error::new(error::Kind::Storage, "crash"));
            }
            *left -= 1;
        }
        Ok(())
    }

    /// Loses what was not synced, but for a torn part of it.
    pub fn crash(&mut self, torn: usize) {
        self.fuse = None;
        for (name, data) in &mut self.files {
            let kept = self.synced.get(name).copied().unwrap_or(0);
            let lost = data.len() - kept;
            data.truncate(kept + if lost == 0 { 0 } else { torn % lost });
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
        self.files
            .entry(name.to_owned())
            .or_default()
            .extend_from_slice(bytes);
        self.burn()
    }

    fn sync(&mut self, name: &str) -> store::Result<()> {
        self.burn()?;
        let len = self.files.get(name).map_or(0, Vec::len);
        self.synced.insert(name.to_owned(), len);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> store::Result<()> {
        self.burn()?;
        self.files.insert(name.to_owned(), bytes.to_vec());
        self.synced.insert(name.to_owned(), bytes.len());
        Ok(())
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> store::Result<()> {
        self.burn()?;
        if let Some(data) = self.files.get_mut(name) {
            data.truncate(bytes as usize);
        }
        self.synced.insert(name.to_owned(), bytes as usize);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> store::Result<()> {
        self.burn()?;
        self.files.remove(name);
        self.synced.remove(name);
        Ok(())
    }

    fn display_path(&self, name: &str) -> String {
        format!("fake/{name}")
    }
}
