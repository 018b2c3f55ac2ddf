//! Names the files in the folder that the processes of a gateway share.

use std::{env, fs, path::PathBuf};

/// Prefix of the file names of this program.
const FILE_NAME_PREFIX: &str = "oliverack";
/// Maximum length of a gateway's name in file names, in characters. The rest of a longer name is cut off.
const MAX_GATEWAY_NAME_LENGTH: usize = 32;
/// Suffix of the file names of sockets; follows the process id.
const SOCKET_SUFFIX: &str = ".sock";
/// Suffix of the file name of the maintenance file.
const MAINTENANCE_FILE_SUFFIX: &str = ".out.json";

/// Folder for the files that the processes of one gateway share.
#[derive(Debug, Clone)]
pub struct SharedFolder {
    folder: PathBuf,
    /// Gateway's name as file names contain it: shortened, and with special characters replaced by `_`.
    sanitized_name: String,
}

impl SharedFolder {
    /// Returns the folder that the environment variable `TMPDIR` names. `None` if it is unset or empty, as a default
    /// folder could be shared by all gateways of a machine.
    pub fn from_env(gateway_name: &str) -> Option<Self> {
        let folder = env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(Self::new(folder.into(), gateway_name))
    }

    /// Returns the shared folder `folder` of a gateway.
    pub fn new(folder: PathBuf, gateway_name: &str) -> Self {
        // Two gateways may get the same sanitized name. The contents of the files and the handshake have the full
        // name.
        let replace_special = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let sanitized_name =
            gateway_name.chars().take(MAX_GATEWAY_NAME_LENGTH).map(replace_special).collect();
        Self { folder, sanitized_name }
    }

    /// Returns the path of the socket of a process of this program.
    pub fn socket_path(&self, process_id: u32) -> PathBuf {
        self.path(&format!(".{process_id}{SOCKET_SUFFIX}"))
    }

    /// Returns the paths of the sockets of the gateway's processes.
    pub fn socket_paths(&self) -> Vec<PathBuf> {
        self.paths_of_any_program(|suffix| {
            let process_id =
                suffix.strip_prefix('.').and_then(|id_and_suffix| id_and_suffix.strip_suffix(SOCKET_SUFFIX));
            process_id.is_some_and(|id| !id.is_empty() && id.bytes().all(|b| b.is_ascii_digit()))
        })
    }

    /// Returns the path of this program's maintenance file.
    pub fn maintenance_file_path(&self) -> PathBuf {
        self.path(MAINTENANCE_FILE_SUFFIX)
    }

    /// Returns the paths of all files that may be the gateway's maintenance file.
    pub fn maintenance_file_paths(&self) -> Vec<PathBuf> {
        self.paths_of_any_program(|suffix| suffix == MAINTENANCE_FILE_SUFFIX)
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{FILE_NAME_PREFIX}-{}{suffix}", self.sanitized_name))
    }

    /// Returns the paths of the files whose names contain the gateway's name and then a suffix for which
    /// `suffix_matches`. The prefix may differ, as another version of the program may have another name.
    fn paths_of_any_program(&self, suffix_matches: impl Fn(&str) -> bool) -> Vec<PathBuf> {
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        let separator = format!("-{}.", self.sanitized_name);
        let is_match = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str());
            // The last character of the separator, a dot, is the first one of the suffix.
            let suffix = name
                .and_then(|name| name.rfind(&separator).map(|start| &name[start + separator.len() - 1..]));
            suffix.is_some_and(&suffix_matches)
        };
        entries.flatten().map(|entry| entry.path()).filter(is_match).collect()
    }
}
