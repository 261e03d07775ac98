//! Dense indices into the cluster state's tables, and the interner that assigns them to names.

use std::collections::HashMap;

macro_rules! index_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(
            /// The position in the table.
            pub u32,
        );

        impl $name {
            /// The index as a position in a slice.
            pub fn as_usize(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index_types!(
    /// A team in [`ClusterState::teams`](super::ClusterState::teams).
    TeamIndex,
    /// A job in [`ClusterState::jobs`](super::ClusterState::jobs); reused once the job is freed.
    JobIndex,
    /// A machine in [`ClusterState::machines`](super::ClusterState::machines).
    MachineIndex,
    /// A machine type in [`ClusterState::machine_types`](super::ClusterState::machine_types).
    MachineTypeIndex,
    /// A zone in [`ClusterState::zone_names`](super::ClusterState::zone_names).
    ZoneIndex,
    /// An image in [`ClusterState::image_interner`](super::ClusterState::image_interner).
    ImageIndex,
    /// A class of jobs in [`ClusterState::objectives`](super::ClusterState::objectives).
    ClassIndex,
);

/// Assigns dense indices to names, in the order in which they are first seen.
#[derive(Default)]
pub struct Interner {
    by_name: HashMap<String, u32>,
}

impl Interner {
    /// Returns the index of the name, assigning the next one if the name is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.by_name.len() as u32;
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Returns the index of the name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the name with an index. Takes time linear in the number of names.
    pub fn name(&self, index: u32) -> Option<&str> {
        self.iter()
            .find_map(|(name, other)| (other == index).then_some(name))
    }

    /// All names and their indices, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.by_name.iter().map(|(name, index)| (&name[..], *index))
    }
}
