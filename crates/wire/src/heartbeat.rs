use roster::{Heartbeat, Roster};

use crate::{Error, Result, egret_capnp::beat, text::read_name};

pub fn write_heartbeat(mut to: beat::Builder<'_>, it: &Heartbeat) {
    to.set_from(&*it.from);
    to.set_incarnation(it.incarnation);
    to.set_to(it.to_incarnation);
    to.set_epoch(it.promised_epoch as u32);
    to.set_change(it.revision as u32);
    to.set_ready(it.ready_epoch as u32);
    to.set_stamp(it.timestamp);
    to.set_echo(it.echo);
    if let Some(roster) = &it.roster {
        to.set_roster(roster.to_text().as_str());
    }
}

pub fn read_heartbeat(from: beat::Reader<'_>) -> Result<Heartbeat> {
    let roster = if from.has_roster() { Some(read_roster(from.get_roster())?) } else { None };
    Ok(Heartbeat {
        from: read_name(from.get_from())?,
        incarnation: from.get_incarnation(),
        to_incarnation: from.get_to(),
        promised_epoch: from.get_epoch().into(),
        revision: from.get_change().into(),
        ready_epoch: from.get_ready().into(),
        timestamp: from.get_stamp(),
        echo: from.get_echo(),
        roster,
    })
}

/// Parses a roster document.
pub fn read_roster(field: capnp::Result<capnp::text::Reader<'_>>) -> Result<Roster> {
    Roster::from_text(&read_name(field)?).map_err(|e| Error::Malformed(e.to_string()))
}
