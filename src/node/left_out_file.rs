//! What must outlive the process: the workers that operators have left out, in a file in the folder that a
//! process shares with its successor.

use oliverack::ServerId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, env, fmt, fs, io, path::PathBuf, process};

/// Longest file that is read: far more workers than any list names.
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
pub enum LeftOutFileError {
    File(io::Error),
    /// Torn, or in no form that is known.
    Malformed(serde_json::Error),
    /// Longer than any that is written, in another form, or another node's.
    Foreign,
}

impl fmt::Display for LeftOutFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(e) => write!(f, "the file of workers left out: {e}"),
            Self::Malformed(e) => write!(f, "the file of workers left out is malformed: {e}"),
            Self::Foreign => f.write_str("the file of workers left out is not this node's"),
        }
    }
}

/// The folder that `TMPDIR` names, and a start for the names of this node's files in it; `None` without one, as
/// a folder for all would mix up the nodes of one machine.
pub fn place(node: &str) -> Option<(PathBuf, String)> {
    let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    // Short and plain, whatever the node is called; two that come out alike are told apart by what is inside.
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = node.chars().take(32).map(plain).collect();
    Some((folder.into(), format!("oliverack-{name}")))
}

/// Where the workers left out are kept.
pub struct LeftOutFile {
    node: String,
    path: PathBuf,
}

impl LeftOutFile {
    pub fn new(node: &str) -> Option<Self> {
        let (folder, name) = place(node)?;
        Some(Self { node: node.to_owned(), path: folder.join(name + ".out.json") })
    }

    /// What was kept last; nothing without a file.
    pub fn load(&self) -> Result<Vec<ServerId>, LeftOutFileError> {
        match fs::metadata(&self.path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(e) => return Err(LeftOutFileError::File(e)),
            Ok(file) if file.len() > MOST => return Err(LeftOutFileError::Foreign),
            Ok(_) => {}
        }
        let text = fs::read(&self.path).map_err(LeftOutFileError::File)?;
        let file: File = serde_json::from_slice(&text).map_err(LeftOutFileError::Malformed)?;
        if file.form != FORM || file.node != self.node {
            return Err(LeftOutFileError::Foreign);
        }
        Ok(file.out.iter().map(|id| id.as_str().into()).collect())
    }

    /// Keeps these. The file is replaced whole, so that nobody reads half of it.
    pub fn store<'a>(&self, out: impl Iterator<Item = &'a ServerId>) -> Result<(), LeftOutFileError> {
        let out = out.map(|id| id.as_ref().to_owned()).collect();
        let file = File { form: FORM, node: self.node.clone(), out };
        let text = serde_json::to_vec(&file).map_err(LeftOutFileError::Malformed)?;
        let new = self.path.with_extension(format!("{}.new", process::id()));
        fs::write(&new, text).and_then(|()| fs::rename(&new, &self.path)).map_err(LeftOutFileError::File)
    }
}
