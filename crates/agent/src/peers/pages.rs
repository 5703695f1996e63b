use std::collections::HashMap;

use base::Name;
use claim::Record;

/// Records in one message; a record has a few hundred bytes.
const PAGE_RECORDS: usize = 2000;

/// Records that are handed over to new homes page by page.
#[derive(Default)]
pub struct Pages {
    remaining: HashMap<Name, Vec<Record>>,
}

impl Pages {
    pub fn put(&mut self, home: Name, records: Vec<Record>) {
        self.remaining.insert(home, records);
    }

    /// Removes the next page for a home; also returns whether there are more.
    pub fn next_page(&mut self, home: &Name) -> (Vec<Record>, bool) {
        let Some(remaining) = self.remaining.get_mut(home) else { return (Vec::new(), false) };
        let rest = remaining.len().saturating_sub(PAGE_RECORDS);
        let page = remaining.split_off(rest);
        if remaining.is_empty() {
            self.remaining.remove(home);
            return (page, false);
        }
        (page, true)
    }
}
