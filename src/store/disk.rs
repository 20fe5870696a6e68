//! The disk operations that the store needs; tests implement them in memory.

use crate::store::Result;

/// Suffix of a file that takes another one's place once it is whole. One that a crash has left belongs
/// to nobody.
pub const UNFINISHED_SUFFIX: &str = ".new";

/// A flat folder whose files are durable only once they are synced.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// `Storage` if the folder cannot be read.
    fn list(&self) -> Result<Vec<String>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// `Storage` if the file cannot be read.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;

    /// Appends bytes to a file and creates it if it does not exist. The bytes are durable only
    /// after `sync`.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Makes the appended bytes of a file durable.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Replaces a file atomically and durably.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Truncates a file to a length in bytes, durably.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn truncate(&mut self, name: &str, bytes: u64) -> Result<()>;

    /// Renames a file durably; a file of the new name is replaced.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Returns the size of a file in bytes.
    ///
    /// # Errors
    /// `Storage` if the file cannot be read.
    fn size(&self, name: &str) -> Result<u64>;

    /// Removes a file.
    ///
    /// # Errors
    /// `Storage` if the disk fails.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// Returns the path of a file as shown in messages.
    fn display_path(&self, name: &str) -> String;
}
