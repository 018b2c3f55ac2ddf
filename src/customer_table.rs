//! The customers that a gateway knows of at present, within a bound.

use crate::{
    customer::Customer,
    interface::{CustomerId, Time},
};
use std::{
    collections::BTreeMap,
    ops::{Deref, DerefMut},
};

/// See the [module](self).
#[derive(Debug, Default)]
pub struct CustomerTable {
    customers: BTreeMap<CustomerId, Customer>,
    forgotten_before: Time,
}

impl CustomerTable {
    /// Customers that have not come since then may have been forgotten.
    pub fn forgotten_before(&self) -> Time {
        self.forgotten_before
    }

    /// Drops the customers that nothing is open for and that have not come for `age` seconds.
    pub fn forget(&mut self, now: Time, age: f64) {
        self.forgotten_before = self.forgotten_before.max(now - age);
        let is_in_use = |c: &Customer| c.attempts_out > 0 || c.pending_call.is_some();
        self.customers.retain(|_, c| now - c.last_seen < age || is_in_use(c));
    }

    /// Whether the table has room for a customer that it may not know, within a bound. A full one forgets the longest
    /// idle, an eighth at least, so that the next look at all of them is far: those of half of `age` seconds first,
    /// and none of less than `least_age`.
    pub fn has_room(
        &mut self,
        key: &CustomerId,
        most: usize,
        now: Time,
        mut age: f64,
        least_age: f64,
    ) -> bool {
        if self.customers.len() < most || self.customers.contains_key(key) {
            return true;
        }
        while self.customers.len() > most - most.div_ceil(8) && age > least_age {
            age /= 2.0;
            self.forget(now, age);
        }
        self.customers.len() < most
    }
}

impl Deref for CustomerTable {
    type Target = BTreeMap<CustomerId, Customer>;

    fn deref(&self) -> &Self::Target {
        &self.customers
    }
}

impl DerefMut for CustomerTable {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.customers
    }
}
