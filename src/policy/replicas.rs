//! The processes that serve one gateway side by side during a hot restart, and divide its shares among
//! themselves.

/// The position of this process among the gateway's processes.
#[derive(Debug, Clone, Copy)]
pub struct Replicas {
    /// Index of this process, from 0, the oldest first.
    pub index: u32,
    /// How many processes there are, this one included.
    pub count: u32,
}

impl Replicas {
    /// Among how many processes an even share for `gateway_count` gateways is divided.
    pub fn holder_count(self, gateway_count: u32) -> f64 {
        f64::from(gateway_count) * f64::from(self.count)
    }
}

impl Default for Replicas {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
