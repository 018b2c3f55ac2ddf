//! Handle of a child process that kills the process when dropped.

use std::process::Child;

/// Child process that is killed and waited for when this handle is dropped.
#[derive(Debug)]
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
