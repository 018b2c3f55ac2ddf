//! The names of the files in the folder that the processes of a gateway share.

use std::{env, fs, path::PathBuf};

/// The start of the names of this program's files.
const FILE_NAME_PREFIX: &str = "oliverack";
/// Longest part of the gateway's name that the names of files contain, in characters.
const MAX_GATEWAY_NAME_LENGTH: usize = 32;
/// The end of the names of sockets, behind the process id.
const SOCKET_SUFFIX: &str = ".sock";
/// The end of the name of the maintenance file.
const MAINTENANCE_FILE_SUFFIX: &str = ".out.json";

/// The files of one gateway in the shared folder.
#[derive(Debug, Clone)]
pub struct SharedFolder {
    folder: PathBuf,
    /// The gateway's name in the form in which names of files contain it.
    gateway_name: String,
}

impl SharedFolder {
    /// The folder that `TMPDIR` names. `None` without it, as a default folder could be shared by all gateways of a
    /// machine.
    pub fn of(gateway_name: &str) -> Option<Self> {
        let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(Self::below(folder.into(), gateway_name))
    }

    /// The files of a gateway in the given folder.
    pub fn below(folder: PathBuf, gateway_name: &str) -> Self {
        // Two gateways may get the same form of name. The files' contents and the handshake have the complete name.
        let replace_special = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let gateway_name = gateway_name.chars().take(MAX_GATEWAY_NAME_LENGTH).map(replace_special).collect();
        Self { folder, gateway_name }
    }

    /// Where a process of this program has its socket.
    pub fn socket_path(&self, process_id: u32) -> PathBuf {
        self.path(&format!(".{process_id}{SOCKET_SUFFIX}"))
    }

    /// All sockets of the gateway's processes.
    pub fn socket_paths(&self) -> Vec<PathBuf> {
        self.paths_of_any_program(|suffix| {
            let process_id = suffix.strip_prefix('.').and_then(|rest| rest.strip_suffix(SOCKET_SUFFIX));
            process_id.is_some_and(|id| !id.is_empty() && id.bytes().all(|b| b.is_ascii_digit()))
        })
    }

    /// Where this program stores the endpoints in maintenance.
    pub fn maintenance_file_path(&self) -> PathBuf {
        self.path(MAINTENANCE_FILE_SUFFIX)
    }

    /// All files that may hold the gateway's endpoints in maintenance.
    pub fn maintenance_file_paths(&self) -> Vec<PathBuf> {
        self.paths_of_any_program(|suffix| suffix == MAINTENANCE_FILE_SUFFIX)
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{FILE_NAME_PREFIX}-{}{suffix}", self.gateway_name))
    }

    /// The files whose names contain the gateway's name and then a suffix that `is_wanted`. The prefix may differ, as
    /// another version of the program may have another name.
    fn paths_of_any_program(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<PathBuf> {
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        let separator = format!("-{}.", self.gateway_name);
        let is_match = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str());
            // The separator's last character, a dot, is the first one of the suffix.
            let suffix =
                name.and_then(|name| name.rfind(&separator).map(|at| &name[at + separator.len() - 1..]));
            suffix.is_some_and(&is_wanted)
        };
        entries.flatten().map(|entry| entry.path()).filter(is_match).collect()
    }
}
