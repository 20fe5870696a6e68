//! What the store needs of a disk, small enough for a fake one in tests.

use crate::store::Result;

/// A flat folder whose files last only once they are synced.
pub trait Disk {
    /// Names of all files.
    ///
    /// # Errors
    /// `Storage` when the folder cannot be read.
    fn list(&self) -> Result<Vec<String>>;

    /// Whole content of a file.
    ///
    /// # Errors
    /// `Storage` when the file cannot be read.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;

    /// Adds bytes to the end of a file, which is made if absent; not durable before `sync`.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Makes a file's bytes durable.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Replaces a file as a whole, durably.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Cuts a file to a length, durably.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    fn truncate(&mut self, name: &str, bytes: u64) -> Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// `Storage` when the disk fails.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// Name of a file for messages to operators.
    fn name(&self, name: &str) -> String;
}
