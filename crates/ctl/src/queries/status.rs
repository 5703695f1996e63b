use serde::Serialize;
use serde_json::{Map, Value};

use super::format::{Format, Rows};
use crate::{Result, client::Entry};

#[derive(Serialize)]
#[serde(transparent)]
struct Status(Map<String, Value>);

impl Rows for Status {
    const TITLES: &'static [&'static str] = &["FIELD", "VALUE"];

    fn rows(&self) -> Vec<Vec<String>> {
        self.0.iter().map(|(name, value)| vec![name.clone(), value.to_string()]).collect()
    }
}

/// Shows the state that an entry reports for a key.
pub async fn status(
    entry: &Entry,
    service: &str,
    team: &str,
    key: &str,
    format: Format,
) -> Result<()> {
    let path = format!("/v1/{service}/status?team={team}&key={key}");
    let fields = entry.get(&path).await?.json()?;
    format.print(&Status(fields))
}
