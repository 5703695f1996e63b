use std::collections::HashMap;

use base::Name;
use claim::Record;

/// Records in one message; a record takes a few hundred bytes.
const PAGE_RECORDS: usize = 2000;

/// Records on their way to new homes, a page at a time.
#[derive(Default)]
pub struct Pages {
    remaining: HashMap<Name, Vec<Record>>,
}

impl Pages {
    pub fn put(&mut self, home: Name, records: Vec<Record>) {
        self.remaining.insert(home, records);
    }

    /// The next page for a home, and whether more are left.
    pub fn next_page(&mut self, home: &Name) -> (Vec<Record>, bool) {
        let Some(left) = self.remaining.get_mut(home) else { return (Vec::new(), false) };
        let rest = left.len().saturating_sub(PAGE_RECORDS);
        let page = left.split_off(rest);
        if left.is_empty() {
            self.remaining.remove(home);
            return (page, false);
        }
        (page, true)
    }
}
