//! The processes that serve this gateway side by side, as in an upgrade.

use std::cell::Cell;

/// How many other processes there are, by whether they started before this one.
#[derive(Debug, Default)]
pub struct Processes {
    elder: Cell<u32>,
    younger: Cell<u32>,
}

impl Processes {
    /// Sets how many others there are.
    pub fn set(&self, elder: u32, younger: u32) {
        self.elder.set(elder);
        self.younger.set(younger);
    }

    /// This process's place among them, the eldest first.
    pub fn place(&self) -> u32 {
        self.elder.get()
    }

    /// How many there are, this one included.
    pub fn count(&self) -> u32 {
        1 + self.elder.get() + self.younger.get()
    }

    /// A younger process takes clients, too.
    pub fn is_followed(&self) -> bool {
        self.younger.get() > 0
    }
}
