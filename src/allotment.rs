//! The part of a shared rate and burst that one of several holders has, dealt out in whole requests.
//!
//! Requests fall due at the rate, each to the next holder in turn, and may be spent for burst over rate. Holders that
//! agree on the clock thus spend no more than rate and burst in sum, without a word between them, even where one
//! holder's part of the burst is less than a request.

use crate::interface::Time;

/// What is dealt out, and to whom.
#[derive(Debug, Clone, Copy)]
pub struct Allotment {
    /// Units a second to all holders together.
    pub rate: f64,
    /// Units that all holders together may have saved up.
    pub burst: f64,
    /// Units that are dealt at once: the largest request.
    pub deal: f64,
    /// This holder's place in the turn, from 0; a fraction shifts the turn.
    pub place: f64,
    /// How many holders there are.
    pub holders: f64,
}

impl Allotment {
    /// Units that this holder has been dealt up to `at`, counted from one moment long ago.
    fn dealt(&self, at: Time) -> f64 {
        let deals = at * self.rate / self.deal;
        ((deals - self.place) / self.holders).floor() * self.deal
    }

    /// Units that it was dealt between two moments.
    pub fn between(&self, from: Time, to: Time) -> f64 {
        self.dealt(to) - self.dealt(from)
    }

    /// The most that it may hold at `now`: what was dealt long ago is lost.
    pub fn most(&self, now: Time) -> f64 {
        self.between(now - self.burst / self.rate, now)
    }
}

/// The even share of whole slots at a position, from 0; what does not go round falls to the first, one each.
pub fn even_slots(slots: u32, position: u32, holders: u32) -> u32 {
    slots / holders + u32::from(position < slots % holders)
}

/// Where this process stands among those that serve its gateway.
#[derive(Debug, Clone, Copy)]
pub struct Sharing {
    /// From 0, the eldest first.
    pub position: u32,
    /// How many there are, one at least.
    pub processes: u32,
}

impl Default for Sharing {
    fn default() -> Self {
        Self { position: 0, processes: 1 }
    }
}

#[cfg(test)]
#[path = "../tests/unit/allotment.rs"]
mod tests;
