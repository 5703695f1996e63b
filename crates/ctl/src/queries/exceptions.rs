use base::Utc;
use conf::Exception;
use serde::Serialize;

use super::format::{Format, Rows};
use crate::{Result, client::Fleet};

#[derive(Serialize)]
struct Exceptions {
    version: u64,
    exceptions: Vec<Exception>,
}

impl Rows for Exceptions {
    const TITLES: &'static [&'static str] = &["SERVICE", "VALUES", "AUTHOR", "ADDED", "REASON"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |e: &Exception| {
            let values: Vec<_> =
                e.values.list().iter().map(|(name, value)| format!("{name}={value}")).collect();
            let added = Utc(e.added_ms).to_string();
            vec![e.service.to_string(), values.join(","), e.author.clone(), added, e.reason.clone()]
        };
        self.exceptions.iter().map(row).collect()
    }
}

/// Lists the exceptions and their reasons.
pub async fn exceptions(fleet: &Fleet, format: Format) -> Result<()> {
    let document = fleet.read().await?;
    format.print(&Exceptions { version: document.version, exceptions: document.fleet.exceptions })
}
