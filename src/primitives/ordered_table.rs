//! A table whose entries keep their place in memory, are found by key, and are listed in the order of the
//! keys.
//!
//! Some of the entries are selected. The selected entries form a list of their own in the same order and can
//! be looked up in it by index. Adding, removing or selecting an entry compares a few keys and moves some
//! bytes for each entry behind it, whatever the length of the table; it copies no key.

use std::{
    borrow::Borrow,
    ops::{Index, IndexMut},
};

/// The place of an entry, valid until the entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u32);

#[derive(Debug)]
struct Entry<K, V> {
    key: K,
    value: V,
}

/// See the [module](self).
#[derive(Debug)]
pub struct OrderedTable<K, V> {
    /// Entries by place; `None` where the place is free.
    entries: Vec<Option<Entry<K, V>>>,
    free: Vec<Place>,
    /// All entries in the order of their keys.
    order: Vec<Place>,
    /// The selected entries in the order of their keys.
    selected: Vec<Place>,
}

impl<K, V> Default for OrderedTable<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new(), order: Vec::new(), selected: Vec::new() }
    }
}

impl<K: Ord, V> OrderedTable<K, V> {
    /// Reserves memory for exactly `count` entries in all.
    pub fn reserve(&mut self, count: usize) {
        self.entries.reserve_exact(count.saturating_sub(self.entries.len()));
        self.order.reserve_exact(count.saturating_sub(self.order.len()));
        self.selected.reserve_exact(count.saturating_sub(self.selected.len()));
    }

    /// The place of the entry with this key.
    pub fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Option<Place>
    where
        K: Borrow<Q>,
    {
        self.rank(&self.order, key).ok().map(|rank| self.order[rank])
    }

    /// The place of the entry with this key, which is added with the default value if it is missing.
    pub fn find_or_add(&mut self, key: K) -> Place
    where
        V: Default,
    {
        match self.rank(&self.order, &key) {
            Ok(rank) => self.order[rank],
            Err(rank) => {
                let place = self.store(Entry { key, value: V::default() });
                self.order.insert(rank, place);
                place
            }
        }
    }

    /// Removes an entry, also from the selection.
    pub fn remove(&mut self, place: Place) {
        self.select(place, false);
        if let Ok(rank) = self.rank(&self.order, self.key(place)) {
            self.order.remove(rank);
        }
        self.entries[place.0 as usize] = None;
        self.free.push(place);
    }

    /// Selects an entry or removes it from the selection.
    pub fn select(&mut self, place: Place, is_selected: bool) {
        match (self.rank(&self.selected, self.key(place)), is_selected) {
            (Err(rank), true) => self.selected.insert(rank, place),
            (Ok(rank), false) => drop(self.selected.remove(rank)),
            _ => {}
        }
    }

    /// The selected entries, in the order of their keys.
    pub fn selected(&self) -> &[Place] {
        &self.selected
    }

    /// All entries, in the order of their keys.
    pub fn places(&self) -> &[Place] {
        &self.order
    }

    /// All entries' keys and values, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.order.iter().map(|place| (self.key(*place), &self[*place]))
    }

    /// All entries' values, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().flatten().map(|entry| &mut entry.value)
    }

    /// The key of an entry.
    ///
    /// # Panics
    /// If the entry has been removed.
    pub fn key(&self, place: Place) -> &K {
        &self.entry(place).key
    }

    fn entry(&self, place: Place) -> &Entry<K, V> {
        #[cfg(test)]
        tests::READS.with(|reads| reads.set(reads.get() + 1));
        self.entries[place.0 as usize].as_ref().expect("a place is valid until its entry is removed")
    }

    /// The position of a key in a list that is in the order of the keys, or the position to insert it at.
    fn rank<Q: Ord + ?Sized>(&self, list: &[Place], key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        // Complete endpoint lists mostly arrive in order, so each entry is the new last one.
        if list.last().is_none_or(|last| self.key(*last).borrow() < key) {
            return Err(list.len());
        }
        list.binary_search_by(|place| self.key(*place).borrow().cmp(key))
    }

    fn store(&mut self, entry: Entry<K, V>) -> Place {
        if let Some(place) = self.free.pop() {
            self.entries[place.0 as usize] = Some(entry);
            return place;
        }
        let place = Place(u32::try_from(self.entries.len()).expect("fewer entries than a u32 counts"));
        self.entries.push(Some(entry));
        place
    }
}

impl<K: Ord, V> Index<Place> for OrderedTable<K, V> {
    type Output = V;

    fn index(&self, place: Place) -> &V {
        &self.entry(place).value
    }
}

impl<K: Ord, V> IndexMut<Place> for OrderedTable<K, V> {
    fn index_mut(&mut self, place: Place) -> &mut V {
        #[cfg(test)]
        tests::READS.with(|reads| reads.set(reads.get() + 1));
        let entry = self.entries[place.0 as usize].as_mut();
        &mut entry.expect("a place is valid until its entry is removed").value
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ordered_table.rs"]
pub(crate) mod tests;
