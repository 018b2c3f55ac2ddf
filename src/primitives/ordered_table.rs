//! A table of entries that are found by key, iterated in the order of the keys, and addressed by handles that
//! stay valid until the entry is removed.
//!
//! Some of the entries are selected. A second list holds their handles in the order of the keys, so that they
//! can be accessed by index. Adding, removing or selecting an entry takes a binary search and moves a few
//! bytes for each later entry; it copies no key.

use std::{
    borrow::Borrow,
    ops::{Index, IndexMut},
};

/// Handle of an entry, valid until the entry is removed. A later entry may get the same handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryHandle(u32);

#[derive(Debug)]
struct Entry<K, V> {
    key: K,
    value: V,
}

/// An ordered map with stable handles and a selection of its entries.
#[derive(Debug)]
pub struct OrderedTable<K, V> {
    /// Entries by handle; `None` where the handle is free.
    entries: Vec<Option<Entry<K, V>>>,
    free_handles: Vec<EntryHandle>,
    /// Handles of all entries in the order of their keys.
    order: Vec<EntryHandle>,
    /// Handles of the selected entries in the order of their keys.
    selected: Vec<EntryHandle>,
}

impl<K, V> Default for OrderedTable<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new(), free_handles: Vec::new(), order: Vec::new(), selected: Vec::new() }
    }
}

impl<K: Ord, V> OrderedTable<K, V> {
    /// Reserves memory for exactly `count` entries in all.
    pub fn reserve(&mut self, count: usize) {
        self.entries.reserve_exact(count.saturating_sub(self.entries.len()));
        self.order.reserve_exact(count.saturating_sub(self.order.len()));
        self.selected.reserve_exact(count.saturating_sub(self.selected.len()));
    }

    /// Returns the handle of the entry with this key; `None` if there is no such entry.
    pub fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Option<EntryHandle>
    where
        K: Borrow<Q>,
    {
        self.rank(&self.order, key).ok().map(|rank| self.order[rank])
    }

    /// Returns the handle of the entry with this key. Adds the entry with the default value if it is missing.
    pub fn find_or_add(&mut self, key: K) -> EntryHandle
    where
        V: Default,
    {
        match self.rank(&self.order, &key) {
            Ok(rank) => self.order[rank],
            Err(rank) => {
                let handle = self.store(Entry { key, value: V::default() });
                self.order.insert(rank, handle);
                handle
            }
        }
    }

    /// Removes an entry from the table and from the selection.
    pub fn remove(&mut self, handle: EntryHandle) {
        self.select(handle, false);
        if let Ok(rank) = self.rank(&self.order, self.key(handle)) {
            self.order.remove(rank);
        }
        self.entries[handle.0 as usize] = None;
        self.free_handles.push(handle);
    }

    /// Selects an entry or removes it from the selection.
    pub fn select(&mut self, handle: EntryHandle, is_selected: bool) {
        match (self.rank(&self.selected, self.key(handle)), is_selected) {
            (Err(rank), true) => self.selected.insert(rank, handle),
            (Ok(rank), false) => drop(self.selected.remove(rank)),
            _ => {}
        }
    }

    /// Returns the handles of the selected entries in the order of their keys.
    pub fn selected(&self) -> &[EntryHandle] {
        &self.selected
    }

    /// Returns the handles of all entries in the order of their keys.
    pub fn handles(&self) -> &[EntryHandle] {
        &self.order
    }

    /// Iterates over keys and values in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.order.iter().map(|handle| (self.key(*handle), &self[*handle]))
    }

    /// Iterates over the values in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().flatten().map(|entry| &mut entry.value)
    }

    /// Returns the key of an entry.
    ///
    /// # Panics
    /// If the entry has been removed.
    pub fn key(&self, handle: EntryHandle) -> &K {
        &self.entry(handle).key
    }

    fn entry(&self, handle: EntryHandle) -> &Entry<K, V> {
        #[cfg(test)]
        tests::ENTRY_READS.with(|reads| reads.set(reads.get() + 1));
        self.entries[handle.0 as usize].as_ref().expect("a handle is valid until its entry is removed")
    }

    /// Returns the position of a key in a list of handles sorted by key, or as an error the position to
    /// insert it at.
    fn rank<Q: Ord + ?Sized>(&self, list: &[EntryHandle], key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        // Complete endpoint lists mostly arrive in order, so each new entry follows the last one.
        if list.last().is_none_or(|last| self.key(*last).borrow() < key) {
            return Err(list.len());
        }
        list.binary_search_by(|handle| self.key(*handle).borrow().cmp(key))
    }

    fn store(&mut self, entry: Entry<K, V>) -> EntryHandle {
        if let Some(handle) = self.free_handles.pop() {
            self.entries[handle.0 as usize] = Some(entry);
            return handle;
        }
        let handle = EntryHandle(u32::try_from(self.entries.len()).expect("fewer than 2^32 entries"));
        self.entries.push(Some(entry));
        handle
    }
}

impl<K: Ord, V> Index<EntryHandle> for OrderedTable<K, V> {
    type Output = V;

    fn index(&self, handle: EntryHandle) -> &V {
        &self.entry(handle).value
    }
}

impl<K: Ord, V> IndexMut<EntryHandle> for OrderedTable<K, V> {
    fn index_mut(&mut self, handle: EntryHandle) -> &mut V {
        #[cfg(test)]
        tests::ENTRY_READS.with(|reads| reads.set(reads.get() + 1));
        let entry = self.entries[handle.0 as usize].as_mut();
        &mut entry.expect("a handle is valid until its entry is removed").value
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ordered_table.rs"]
pub(crate) mod tests;
