use base::Utc;
use conf::Change;
use serde::Serialize;

use super::format::{Format, Rows};
use crate::{Result, client::Fleet};

#[derive(Serialize)]
struct History {
    version: u64,
    changes: Vec<Change>,
}

impl Rows for History {
    const TITLES: &'static [&'static str] = &["VERSION", "TIME", "AUTHOR", "CHANGE", "NUMBER"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |c: &Change| {
            let (version, time) = (c.version.to_string(), Utc(c.time_ms).to_string());
            vec![version, time, c.author.clone(), c.summary.clone(), c.id.clone()]
        };
        self.changes.iter().map(row).collect()
    }
}

/// Lists the changes to the fleet configuration, newest first.
pub async fn history(fleet: &Fleet, format: Format) -> Result<()> {
    let document = fleet.read().await?;
    format.print(&History { version: document.version, changes: document.fleet.history })
}
