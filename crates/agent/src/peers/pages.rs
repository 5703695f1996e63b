use std::collections::HashMap;

use base::{Member, Name};
use claim::Record;

/// Records in one message; a record has a few hundred bytes.
const PAGE_RECORDS: usize = 2000;

/// Records that are handed over to new homes page by page. A home may collect
/// several times at once, and each collection gets all pages.
#[derive(Default)]
pub struct Pages {
    handovers: HashMap<Name, Handover>,
}

/// What one incarnation of a home gets in one epoch. Nothing is added once the
/// epoch is promised, and so a later collection gets the same.
struct Handover {
    incarnation: u64,
    epoch: u64,
    records: Vec<Record>,
}

impl Pages {
    /// Stores the records for a home, unless they are there from an earlier
    /// collection in this epoch.
    pub fn put(&mut self, home: &Member, epoch: u64, records: Vec<Record>) {
        if !self.contains(home, epoch) {
            let handover = Handover { incarnation: home.incarnation, epoch, records };
            self.handovers.insert(home.name.clone(), handover);
        }
    }

    pub fn contains(&self, home: &Member, epoch: u64) -> bool {
        self.find(home, epoch).is_some()
    }

    /// One page, and whether there are more; `None` if nothing is stored for this
    /// home in this epoch.
    pub fn page(&self, home: &Member, epoch: u64, page: u32) -> Option<(Vec<Record>, bool)> {
        let records = &self.find(home, epoch)?.records;
        let start = (page as usize).saturating_mul(PAGE_RECORDS).min(records.len());
        let end = (start + PAGE_RECORDS).min(records.len());
        Some((records[start..end].to_vec(), end < records.len()))
    }

    /// Drops the records once every new home has them.
    pub fn clear(&mut self) {
        self.handovers.clear();
    }

    fn find(&self, home: &Member, epoch: u64) -> Option<&Handover> {
        let found = self.handovers.get(&home.name)?;
        (found.incarnation == home.incarnation && found.epoch == epoch).then_some(found)
    }
}
