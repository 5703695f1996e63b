/// Number of classes; queues with more distinct priorities share the last one.
pub const CLASSES: usize = 4;

/// Class of a task: the rank of its queue's priority among the priorities of the
/// queues of its service. Class 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class(u8);

impl Class {
    /// The class of a rank, counted from 0.
    pub fn from_rank(rank: usize) -> Self {
        Self(rank.min(CLASSES - 1) as u8)
    }

    /// All classes, the most urgent first.
    pub fn all() -> impl Iterator<Item = Class> {
        (0..CLASSES).map(Self::from_rank)
    }

    pub fn index(self) -> usize {
        self.0.into()
    }
}
