//! Interning of names as small integer keys.

use std::collections::BTreeMap;

/// Interner that numbers names in the order of their first use.
#[derive(Debug, Clone)]
pub(crate) struct NameIndex<N> {
    numbers: BTreeMap<N, u32>,
    names: Vec<N>,
}

impl<N: Ord + Clone> NameIndex<N> {
    pub(crate) fn new() -> NameIndex<N> {
        NameIndex { numbers: BTreeMap::new(), names: Vec::new() }
    }

    /// Returns the number of `name`, which is assigned on first use.
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.clone(), number);
        self.names.push(name.clone());
        number
    }

    pub(crate) fn get(&self, name: &N) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn name(&self, number: u32) -> &N {
        &self.names[number as usize]
    }
}
