//! Folder for the temporary files of a test.

use std::path::PathBuf;

/// Folder for the temporary files of one test, removed when dropped.
pub struct TempDir {
    pub path: PathBuf,
}

impl TempDir {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("oliverack-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a writable folder for temporary files");
        Self { path }
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
