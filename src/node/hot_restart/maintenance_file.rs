//! What must outlive the process: the endpoints that operators have left out, in a file in the folder that a
//! process shares with its successor.

use crate::node::hot_restart::shared_folder::SharedFolder;
use oliverack::EndpointId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    fmt, fs, io,
    path::{Path, PathBuf},
    process,
};

/// Longest file that is read: far more endpoints than any list names.
const MOST: u64 = 1 << 20;
/// The file's form; another one is refused.
const FORM: u32 = 1;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    form: u32,
    node: String,
    out: BTreeSet<String>,
}

#[derive(Debug)]
pub enum MaintenanceFileError {
    File(io::Error),
    /// Torn, or in no form that is known.
    Malformed(serde_json::Error),
    /// Longer than any that is written, in another form, or another node's.
    Foreign,
}

impl fmt::Display for MaintenanceFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(e) => write!(f, "the maintenance file: {e}"),
            Self::Malformed(e) => write!(f, "the maintenance file is malformed: {e}"),
            Self::Foreign => f.write_str("the maintenance file is not this node's"),
        }
    }
}

/// The ending of the file's name.
const ENDING: &str = ".out.json";

/// Where the endpoints left out are kept.
pub struct MaintenanceFile {
    node: String,
    path: PathBuf,
    folder: SharedFolder,
}

impl MaintenanceFile {
    /// That of a node; `None`: there is no folder for it.
    pub fn new(node: &str) -> Option<Self> {
        let folder = SharedFolder::of(node)?;
        Some(Self { node: node.to_owned(), path: folder.path(ENDING), folder })
    }

    /// What was kept last; nothing without a file. Where this program has kept none, what one of another name has.
    ///
    /// # Errors
    /// This program's own file can't be read.
    pub fn load(&self) -> Result<Vec<EndpointId>, MaintenanceFileError> {
        match self.read(&self.path) {
            Err(MaintenanceFileError::File(e)) if e.kind() == io::ErrorKind::NotFound => {}
            read => return read,
        }
        // Another node's file may end alike: what can't be read here is not this one's.
        let others = self.folder.files(|rest| rest == ENDING);
        Ok(others.iter().find_map(|path| self.read(path).ok()).unwrap_or_default())
    }

    fn read(&self, path: &Path) -> Result<Vec<EndpointId>, MaintenanceFileError> {
        if fs::metadata(path).map_err(MaintenanceFileError::File)?.len() > MOST {
            return Err(MaintenanceFileError::Foreign);
        }
        let text = fs::read(path).map_err(MaintenanceFileError::File)?;
        let file: File = serde_json::from_slice(&text).map_err(MaintenanceFileError::Malformed)?;
        if file.form != FORM || file.node != self.node {
            return Err(MaintenanceFileError::Foreign);
        }
        Ok(file.out.iter().map(|id| id.as_str().into()).collect())
    }

    /// Keeps these. The file is replaced whole, so that nobody reads half of it.
    pub fn store<'a>(&self, out: impl Iterator<Item = &'a EndpointId>) -> Result<(), MaintenanceFileError> {
        let out = out.map(|id| id.as_ref().to_owned()).collect();
        let file = File { form: FORM, node: self.node.clone(), out };
        let text = serde_json::to_vec(&file).map_err(MaintenanceFileError::Malformed)?;
        let new = self.path.with_extension(format!("{}.new", process::id()));
        fs::write(&new, text).and_then(|()| fs::rename(&new, &self.path)).map_err(MaintenanceFileError::File)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/maintenance_file.rs"]
mod tests;
