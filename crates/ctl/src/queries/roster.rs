use base::Utc;
use roster::Roster;

use super::format::{Format, Rows};
use crate::{Error, Result, client::Fleet};

impl Rows for Roster {
    const TITLES: &'static [&'static str] =
        &["EPOCH", "SETTLED", "AGENT", "CENTRE", "RACK", "ADDRESS", "CONFIRMED_LOST"];

    fn rows(&self) -> Vec<Vec<String>> {
        let is_lost = |member: &base::Member| {
            self.confirmed_loss.as_ref().is_some_and(|c| c.lost.contains(member))
        };
        let settled = if self.settled { "yes" } else { "no" };
        let row = |m: &base::Member| {
            let lost = if is_lost(m) { "yes" } else { "no" };
            let (epoch, address) = (self.epoch.to_string(), m.address.to_string());
            let texts = [&epoch, settled, &*m.name, &*m.centre, &*m.rack, &address, lost];
            texts.map(str::to_owned).to_vec()
        };
        self.members.iter().map(row).collect()
    }
}

/// Shows the roster of a service and the losses that an operator confirmed.
pub async fn roster(fleet: &Fleet, service: &str, format: Format) -> Result<()> {
    let row = fleet.table().get(&Roster::row_key(service)).await?;
    if row.version == 0 {
        return Err(Error::Refused(format!("service {service} has no roster")));
    }
    let roster = Roster::from_text(&row.value).map_err(|e| Error::Undecodable(e.to_string()))?;
    format.print(&roster)?;
    if let (Format::Table, Some(c)) = (format, &roster.confirmed_loss) {
        let names: Vec<&str> = c.lost.iter().map(|m| &*m.name).collect();
        println!(
            "{} confirmed by {} at {}: {}",
            names.join(", "),
            c.author,
            Utc(c.at_ms),
            c.reason
        );
    }
    Ok(())
}
