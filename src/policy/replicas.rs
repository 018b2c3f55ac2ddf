//! Replicas: the processes that serve one gateway side by side during a hot restart and divide the gateway's
//! shares of quotas, ceilings and limits among themselves.

/// Number of processes that serve the gateway, and the position of this one among them.
#[derive(Debug, Clone, Copy)]
pub struct Replicas {
    /// Index of this process, from 0 for the oldest.
    pub index: u32,
    /// Number of processes, this one included; at least 1.
    pub count: u32,
}

impl Replicas {
    /// Returns the number of processes that hold an even share, if `gateway_count` gateways have as many
    /// processes as this one.
    pub fn holder_count(self, gateway_count: u32) -> f64 {
        f64::from(gateway_count) * f64::from(self.count)
    }
}

impl Default for Replicas {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
