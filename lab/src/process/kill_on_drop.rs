//! A child process that does not outlive its handle.

use std::process::Child;

/// Kills the child process and waits for it when it is dropped.
#[derive(Debug)]
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Both fail only for a process that has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
