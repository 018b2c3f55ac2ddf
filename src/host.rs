//! What a gateway keeps of one server: little while it has sent it nothing, as most of a long list are other
//! gateways' servers.

use crate::{interface::Time, token_bucket::TokenBucket};

/// A server that the list names, or did.
#[derive(Debug, Default)]
pub struct Host {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The list says that it takes work.
    pub running: bool,
    /// The list names it.
    pub listed: bool,
    /// It runs, and operators have not left it out.
    pub usable: bool,
    /// A life of it has begun: what follows holds.
    pub known: bool,
    /// Since when it has been warming up; 0: long ago.
    pub cold_since: Time,
    /// What it may be sent while it is cold.
    pub cold: TokenBucket,
    /// Seconds that its answers take in the mean.
    pub latency: f64,
    /// What attempts have shown of it; `None`: there was none in this life.
    pub health: Option<Box<Health>>,
}

/// What attempts have shown of a server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Attempts that it works on.
    pub inflight: f64,
    /// When it last answered, or failed to in time.
    pub heard: Time,
    /// Failures in a row.
    pub failures: u32,
    /// By class, the share of errors among the answers of late, and when the last answer came.
    pub errors: Vec<TokenBucket>,
    /// It has been out of reach for so long that it may have restarted.
    pub gone: bool,
    /// Since when no connection to it has come up; 0: it answered last.
    pub missed_since: Time,
    /// It is ejected until then.
    pub out_until: Time,
    /// Seconds for which it is ejected next; 0: the least.
    pub out_for: f64,
}

/// The health of a server that nothing was sent to.
static UNTRIED: Health = Health {
    inflight: 0.0,
    heard: 0.0,
    failures: 0,
    errors: Vec::new(),
    gone: false,
    missed_since: 0.0,
    out_until: 0.0,
    out_for: 0.0,
};

impl Host {
    /// What attempts have shown so far.
    pub fn health(&self) -> &Health {
        self.health.as_deref().unwrap_or(&UNTRIED)
    }

    /// The same, to add to it.
    pub fn health_mut(&mut self) -> &mut Health {
        self.health.get_or_insert_default()
    }

    /// Begins a new life: nothing that was learned of an old one holds. What is out stays out.
    pub fn renew(&mut self, cold_since: Time, cold: TokenBucket, latency: f64) {
        (self.known, self.cold_since, self.cold, self.latency) = (true, cold_since, cold, latency);
        let inflight = self.health().inflight;
        self.health = (inflight > 0.0).then(|| Box::new(Health { inflight, ..Health::default() }));
    }
}

#[cfg(test)]
#[path = "../tests/unit/host.rs"]
mod tests;
