use base::{Name, now_ms};
use conf::{Exception, Values};
use platform_client::Version;

use super::defaults::{Setting, describe, set_value};
use crate::{
    Error, Result,
    client::{Author, Fleet},
};

/// Overrides defaults for a service, with a reason on record.
pub async fn add_exception(
    fleet: &Fleet,
    author: &Author,
    service: &Name,
    settings: Vec<Setting>,
    reason: String,
) -> Result<Version> {
    let Some(name) = author.name.clone() else {
        return Err(Error::Refused("an exception requires an author: pass --author".to_owned()));
    };
    let summary = format!("exception for {service}: {}: {reason}", describe(&settings));
    let edit = |fleet: &mut conf::FleetConfig| {
        let mut values = Values::default();
        settings.iter().try_for_each(|s| set_value(&mut values, &s.name, Some(s.value)))?;
        fleet.exceptions.push(Exception {
            service: service.clone(),
            values,
            reason,
            author: name,
            added_ms: now_ms(),
        });
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

/// Removes overrides, so that the defaults apply to the service again.
pub async fn remove_exception(
    fleet: &Fleet,
    author: &Author,
    service: &Name,
    names: Vec<String>,
) -> Result<Version> {
    let summary = format!("exception for {service} removed: {}", names.join(", "));
    let edit = |fleet: &mut conf::FleetConfig| {
        names.iter().try_for_each(|name| remove_value(fleet, service, name))?;
        fleet.exceptions.retain(|e| !e.values.is_empty());
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

fn remove_value(fleet: &mut conf::FleetConfig, service: &Name, name: &str) -> Result<()> {
    let has_value = |e: &&mut Exception| {
        e.service == *service && e.values.list().iter().any(|(field, _)| *field == name)
    };
    let Some(exception) = fleet.exceptions.iter_mut().find(has_value) else {
        return Err(Error::Refused(format!("{service} has no exception for {name}")));
    };
    set_value(&mut exception.values, name, None)
}
