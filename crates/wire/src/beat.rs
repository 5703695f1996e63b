use roster::{Beat, Roster};

use crate::{Error, Result, egret_capnp::beat, text::text};

pub fn write_beat(mut to: beat::Builder<'_>, it: &Beat) {
    to.set_from(&*it.from);
    to.set_incarnation(it.incarnation);
    to.set_to(it.to);
    to.set_epoch(it.epoch as u32);
    to.set_change(it.change as u32);
    to.set_ready(it.ready as u32);
    to.set_stamp(it.stamp);
    to.set_echo(it.echo);
    if let Some(roster) = &it.roster {
        to.set_roster(roster.to_text().as_str());
    }
}

pub fn read_beat(from: beat::Reader<'_>) -> Result<Beat> {
    let roster = if from.has_roster() { Some(read_roster(from.get_roster())?) } else { None };
    Ok(Beat {
        from: text(from.get_from())?,
        incarnation: from.get_incarnation(),
        to: from.get_to(),
        epoch: from.get_epoch().into(),
        change: from.get_change().into(),
        ready: from.get_ready().into(),
        stamp: from.get_stamp(),
        echo: from.get_echo(),
        roster,
    })
}

/// Reads the document of a roster.
pub fn read_roster(field: capnp::Result<capnp::text::Reader<'_>>) -> Result<Roster> {
    Roster::from_text(&text(field)?).map_err(|e| Error::Malformed(e.to_string()))
}
