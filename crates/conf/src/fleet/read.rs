//! Reads a version of the fleet configuration that was written already. The bounds of
//! [`super::parse`] are for those who write one: a process that refused a version for
//! one value would go on with all the queues that it removes. So a part that can't be read
//! is left out alone, and values out of bounds take the nearest one. A version with unknown
//! fields is refused, as what they change can't be known.

use std::collections::BTreeMap;

use base::Name;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    FleetConfig, Service, Values,
    check::{QUOTA, WEIGHT, malformed, unknown_fields},
};
use crate::{Error, Fault, Result, settings::fault};

/// Reads a fleet configuration; gives also what was left out or changed.
///
/// # Errors
/// When the document is no JSON object, or has unknown fields.
pub fn read(text: &str) -> Result<(FleetConfig, Vec<Fault>)> {
    let mut document: Value = serde_json::from_str(text).map_err(|e| malformed(&e))?;
    if let Some(faults) = unknown_fields(&document) {
        return Err(Error::Document(faults));
    }
    let Some(parts) = document.as_object_mut() else {
        let reason = "must be an object";
        return Err(Error::Document(vec![fault("document", reason)]));
    };
    let mut take = |name: &str| parts.remove(name).unwrap_or_default();
    let mut reader = Reader::default();
    let mut fleet = FleetConfig {
        defaults: reader.part("defaults", take("defaults")).unwrap_or_default(),
        services: reader.members("services", take("services")),
        queues: reader.members("queues", take("queues")),
        exceptions: reader.elements("exceptions", take("exceptions")),
        history: reader.elements("history", take("history")),
    };
    reader.bound_values("defaults", &mut fleet.defaults);
    for (name, service) in &mut fleet.services {
        reader.bound_service(name, service);
    }
    for (i, exception) in fleet.exceptions.iter_mut().enumerate() {
        reader.bound_values(&format!("exceptions[{i}].values"), &mut exception.values);
    }
    Ok((fleet, reader.adjusted))
}

#[derive(Default)]
struct Reader {
    adjusted: Vec<Fault>,
}

impl Reader {
    /// A part of the document; `None` if it is absent or can't be read.
    fn part<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        if value.is_null() {
            return None;
        }
        match serde_json::from_value(value) {
            Ok(part) => Some(part),
            Err(e) => {
                self.adjusted.push(fault(path, &format!("left out: {e}")));
                None
            }
        }
    }

    fn members<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> BTreeMap<Name, T> {
        let members: BTreeMap<Name, Value> = self.part(path, value).unwrap_or_default();
        let read = |(name, value): (Name, Value)| {
            let part = self.part(&format!("{path}.{name}"), value)?;
            Some((name, part))
        };
        members.into_iter().filter_map(read).collect()
    }

    fn elements<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Vec<T> {
        let elements: Vec<Value> = self.part(path, value).unwrap_or_default();
        let read = |(i, value)| self.part(&format!("{path}[{i}]"), value);
        elements.into_iter().enumerate().filter_map(read).collect()
    }

    fn bound_service(&mut self, name: &str, service: &mut Service) {
        for (team_name, team) in &mut service.teams {
            let path = format!("services.{name}.teams.{team_name}");
            team.weight = self.bound(&format!("{path}.weight"), team.weight, &WEIGHT);
            team.quota = team.quota.map(|q| self.bound(&format!("{path}.quota"), q, &QUOTA));
        }
    }

    fn bound_values(&mut self, path: &str, values: &mut Values) {
        for (name, value) in values.list() {
            let Some(field) = Values::field(name) else { continue };
            let bounded = self.bound(&format!("{path}.{name}"), value, &field.range);
            // the name comes from the list of all values
            let _ = values.set(name, Some(bounded));
        }
    }

    fn bound(&mut self, path: &str, value: u64, range: &std::ops::RangeInclusive<u64>) -> u64 {
        let bounded = value.clamp(*range.start(), *range.end());
        if bounded != value {
            self.adjusted.push(fault(path, &format!("is {value}, counts as {bounded}")));
        }
        bounded
    }
}
