//! A data folder in the file system.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::error;
use crate::store::{Result, disk};

/// A folder that keeps the file that is being appended to open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: Option<(String, fs::File)>,
}

impl Folder {
    /// Opens a folder and creates it if it does not exist.
    ///
    /// # Errors
    /// `Storage` if the folder cannot be created.
    pub fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(|err| storage_error(path, &err))?;
        Ok(Self {
            path: path.to_path_buf(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> Result<&mut fs::File> {
        let is_other_file = self.open.as_ref().is_none_or(|(open, _file)| open != name);
        if is_other_file {
            let path = self.path.join(name);
            let is_new = !path.exists();
            let file = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&path)
                .map_err(|err| storage_error(&path, &err))?;
            self.open = Some((name.to_owned(), file));
            if is_new {
                self.sync_folder()?;
            }
        }
        match &mut self.open {
            Some((_name, file)) => Ok(file),
            None => Err(error::Error::new(
                error::Kind::Storage,
                "no file is open for appending",
            )),
        }
    }

    fn sync_folder(&self) -> Result<()> {
        let folder = fs::File::open(&self.path).map_err(|err| storage_error(&self.path, &err))?;
        folder
            .sync_all()
            .map_err(|err| storage_error(&self.path, &err))
    }
}

impl disk::Disk for Folder {
    fn list(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(|err| storage_error(&self.path, &err))? {
            let entry = entry.map_err(|err| storage_error(&self.path, &err))?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        let path = self.path.join(name);
        fs::read(&path).map_err(|err| storage_error(&path, &err))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let path = self.path.join(name);
        self.file(name)?
            .write_all(bytes)
            .map_err(|err| storage_error(&path, &err))
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let path = self.path.join(name);
        self.file(name)?
            .sync_data()
            .map_err(|err| storage_error(&path, &err))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let path = self.path.join(name);
        let temporary = self.path.join(format!("{name}{}", disk::UNFINISHED_SUFFIX));
        let mut file =
            fs::File::create(&temporary).map_err(|err| storage_error(&temporary, &err))?;
        file.write_all(bytes)
            .map_err(|err| storage_error(&temporary, &err))?;
        file.sync_all()
            .map_err(|err| storage_error(&temporary, &err))?;
        fs::rename(&temporary, &path).map_err(|err| storage_error(&path, &err))?;
        self.sync_folder()
    }

    fn truncate(&mut self, name: &str, bytes: u64) -> Result<()> {
        let path = self.path.join(name);
        self.open = None;
        let file = fs::OpenOptions::new()
            .write(true)
            .open(&path)
            .map_err(|err| storage_error(&path, &err))?;
        file.set_len(bytes)
            .map_err(|err| storage_error(&path, &err))?;
        file.sync_all().map_err(|err| storage_error(&path, &err))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open = None;
        let path = self.path.join(from);
        fs::rename(&path, self.path.join(to)).map_err(|err| storage_error(&path, &err))?;
        self.sync_folder()
    }

    fn size(&self, name: &str) -> Result<u64> {
        let path = self.path.join(name);
        let metadata = fs::metadata(&path).map_err(|err| storage_error(&path, &err))?;
        Ok(metadata.len())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let path = self.path.join(name);
        if self.open.as_ref().is_some_and(|(open, _file)| open == name) {
            self.open = None;
        }
        fs::remove_file(&path).map_err(|err| storage_error(&path, &err))
    }

    fn display_path(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }
}

fn storage_error(path: &Path, err: &std::io::Error) -> error::Error {
    error::Error::new(error::Kind::Storage, format!("{}: {err}", path.display()))
}
