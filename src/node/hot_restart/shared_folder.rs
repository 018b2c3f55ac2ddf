//! The folder that the processes of a gateway share.

use std::{env, fs, path::PathBuf};

/// What the names of files in the shared folder begin with.
const PREFIX: &str = "oliverack";
/// Most characters of the node's name in them.
const MAX_NAME: usize = 32;

/// This node's files in the folder that processes share with their successors.
#[derive(Debug, Clone)]
pub struct SharedFolder {
    folder: PathBuf,
    /// The node's name as names of files have it.
    node: String,
}

impl SharedFolder {
    /// The folder that `TMPDIR` names; `None` without one, as a folder for all would mix up the nodes of one machine.
    pub fn of(node: &str) -> Option<Self> {
        let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(Self::below(folder.into(), node))
    }

    /// The files of a node in this folder.
    pub fn below(folder: PathBuf, node: &str) -> Self {
        // Short and plain, whatever the node is called; two that come out alike are told apart by what is inside.
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let node = node.chars().take(MAX_NAME).map(plain).collect();
        Self { folder, node }
    }

    /// Where this process writes a file that ends in `ending`.
    pub fn path(&self, ending: &str) -> PathBuf {
        self.folder.join(format!("{PREFIX}-{}{ending}", self.node))
    }

    /// The files that `is_wanted` by what follows the node's name, whatever they begin with: a program of another
    /// version may call its files by another name.
    pub fn files(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<PathBuf> {
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        let node = format!("-{}.", self.node);
        let is_ours = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str());
            // The ending's own point belongs to it.
            let rest = name.and_then(|name| name.rfind(&node).map(|at| &name[at + node.len() - 1..]));
            rest.is_some_and(&is_wanted)
        };
        entries.flatten().map(|entry| entry.path()).filter(is_ours).collect()
    }
}
