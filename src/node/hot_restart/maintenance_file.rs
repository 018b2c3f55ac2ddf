//! File with the endpoints in maintenance, for a process that starts when no other process of the gateway is left to
//! hand them over.
//!
//! Other versions of the program read and write the file, too, so its serialized names are fixed.

use crate::node::hot_restart::shared_folder::SharedFolder;
use oliverack::EndpointId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
    process,
};
use thiserror::Error;

/// Maximum length of a file that is read; far more than a list of endpoints needs.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Version of the file's format. A file with another version is rejected.
const FORMAT_VERSION: u32 = 1;

/// Contents of the file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredMaintenance {
    #[serde(rename = "form")]
    format_version: u32,
    #[serde(rename = "node")]
    gateway_name: String,
    #[serde(rename = "out")]
    endpoints: BTreeSet<String>,
}

/// Error of reading or writing the file.
#[derive(Debug, Error)]
pub enum MaintenanceFileError {
    /// The file can't be accessed.
    #[error("the maintenance file: {0}")]
    File(io::Error),
    /// The file is truncated, or has other contents.
    #[error("the maintenance file is malformed: {0}")]
    Malformed(serde_json::Error),
    /// The file is longer than the limit.
    #[error("the maintenance file has {bytes} bytes, more than {MAX_FILE_BYTES}")]
    TooLong {
        /// Length of the file, in bytes.
        bytes: u64,
    },
    /// The file has another version of the format.
    #[error("the maintenance file has the unsupported format version {0}")]
    UnsupportedFormat(u32),
    /// The file belongs to another gateway.
    #[error("the maintenance file belongs to another gateway: {0}")]
    OtherGateway(String),
}

/// The maintenance file of one gateway.
pub struct MaintenanceFile {
    gateway_name: String,
    path: PathBuf,
    folder: SharedFolder,
}

impl MaintenanceFile {
    /// Returns the file of a gateway; `None` without a shared folder.
    pub fn new(gateway_name: &str) -> Option<Self> {
        let folder = SharedFolder::from_env(gateway_name)?;
        Some(Self::in_folder(folder, gateway_name))
    }

    /// Returns the file of a gateway in the given folder.
    fn in_folder(folder: SharedFolder, gateway_name: &str) -> Self {
        Self { gateway_name: gateway_name.to_owned(), path: folder.maintenance_file_path(), folder }
    }

    /// Loads the endpoints that were stored last; none if there is no file. If a program of this name has stored no
    /// file, loads one that a program of another name has stored.
    ///
    /// # Errors
    /// The file of this program can't be read or is invalid.
    pub fn load(&self) -> Result<Vec<EndpointId>, MaintenanceFileError> {
        match self.read(&self.path) {
            Err(MaintenanceFileError::File(e)) if e.kind() == io::ErrorKind::NotFound => {}
            result => return result,
        }
        // The name of another gateway's file may match, too, so invalid files are skipped.
        let candidates = self.folder.maintenance_file_paths();
        Ok(candidates.iter().find_map(|path| self.read(path).ok()).unwrap_or_default())
    }

    fn read(&self, path: &Path) -> Result<Vec<EndpointId>, MaintenanceFileError> {
        let bytes = fs::metadata(path).map_err(MaintenanceFileError::File)?.len();
        if bytes > MAX_FILE_BYTES {
            return Err(MaintenanceFileError::TooLong { bytes });
        }
        let text = fs::read(path).map_err(MaintenanceFileError::File)?;
        let stored: StoredMaintenance =
            serde_json::from_slice(&text).map_err(MaintenanceFileError::Malformed)?;
        if stored.format_version != FORMAT_VERSION {
            return Err(MaintenanceFileError::UnsupportedFormat(stored.format_version));
        }
        if stored.gateway_name != self.gateway_name {
            return Err(MaintenanceFileError::OtherGateway(stored.gateway_name));
        }
        Ok(stored.endpoints.iter().map(|id| id.as_str().into()).collect())
    }

    /// Stores the endpoints in maintenance. The file is replaced atomically, so that no process reads a part of it.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn store<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a EndpointId>,
    ) -> Result<(), MaintenanceFileError> {
        let stored = StoredMaintenance {
            format_version: FORMAT_VERSION,
            gateway_name: self.gateway_name.clone(),
            endpoints: endpoints.map(|id| id.as_ref().to_owned()).collect(),
        };
        let text = serde_json::to_vec(&stored).map_err(MaintenanceFileError::Malformed)?;
        let temporary_path = self.path.with_extension(format!("{}.new", process::id()));
        fs::write(&temporary_path, text).map_err(MaintenanceFileError::File)?;
        fs::rename(&temporary_path, &self.path).map_err(MaintenanceFileError::File)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/maintenance_file.rs"]
mod tests;
