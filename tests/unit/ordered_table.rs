use super::OrderedTable;
use std::{
    cell::Cell,
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

thread_local! {
    /// Number of accesses to entries on this thread, a measure of cost that does not depend on the machine.
    pub(crate) static ENTRY_READS: Cell<usize> = const { Cell::new(0) };
}

/// Returns the number of accesses to entries that `work` makes.
pub(crate) fn count_entry_reads(work: impl FnOnce()) -> usize {
    let before = ENTRY_READS.get();
    work();
    ENTRY_READS.get() - before
}

#[test]
fn random_operations_match_a_btree_map_and_set() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut table: OrderedTable<u32, u32> = OrderedTable::default();
    let (mut entries, mut selected) = (BTreeMap::new(), BTreeSet::new());
    for step in 0..20_000 {
        let key = rng.u32(0..200);
        match rng.u32(0..4) {
            0 | 1 => {
                let handle = table.find_or_add(key);
                table[handle] += step;
                *entries.entry(key).or_insert(0) += step;
                let is_selected = rng.bool();
                table.select(handle, is_selected);
                if is_selected {
                    selected.insert(key)
                } else {
                    selected.remove(&key)
                };
            }
            2 => {
                assert_eq!(table.find(&key).map(|handle| table[handle]), entries.get(&key).copied());
            }
            _ => {
                if let Some(handle) = table.find(&key) {
                    table.remove(handle);
                }
                entries.remove(&key);
                selected.remove(&key);
            }
        }
        assert_eq!(table.handles().len(), entries.len());
        if step % 100 == 0 {
            assert!(table.iter().eq(entries.iter()));
            assert!(table.selected().iter().map(|handle| table.key(*handle)).eq(selected.iter()));
        }
    }
    table.values_mut().for_each(|value| *value = 7);
    assert!(table.iter().all(|(_, value)| *value == 7));
}

/// A key that counts its comparisons.
struct CountingKey(u32, Rc<Cell<usize>>);

impl PartialEq for CountingKey {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for CountingKey {}

impl PartialOrd for CountingKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for CountingKey {
    fn cmp(&self, other: &Self) -> Ordering {
        self.1.set(self.1.get() + 1);
        self.0.cmp(&other.0)
    }
}

#[test]
fn change_of_an_entry_compares_few_keys() {
    let comparisons = Rc::new(Cell::new(0));
    let mut table: OrderedTable<CountingKey, ()> = OrderedTable::default();
    let key = |number| CountingKey(number, comparisons.clone());
    for number in 0..10_000 {
        let handle = table.find_or_add(key(2 * number));
        table.select(handle, true);
    }
    comparisons.set(0);
    let handle = table.find_or_add(key(7777));
    table.select(handle, true);
    table.select(handle, false);
    table.remove(handle);
    assert!(comparisons.get() <= 5 * 16, "{} comparisons", comparisons.get());
}

#[test]
fn handle_of_a_removed_entry_is_reused() {
    let mut table: OrderedTable<u32, String> = OrderedTable::default();
    table.reserve(2);
    let first = table.find_or_add(1);
    table[first].push_str("old");
    table.select(first, true);
    table.remove(first);
    let second = table.find_or_add(2);
    assert_eq!((second, table[second].as_str()), (first, ""));
    assert!(table.selected().is_empty());
}
