use conf::Values;
use serde::Serialize;

use super::format::{Format, Rows};
use crate::{Error, Result, client::Fleet};

#[derive(Serialize)]
struct Defaults {
    version: u64,
    values: Vec<EffectiveValue>,
}

#[derive(Serialize)]
struct EffectiveValue {
    name: &'static str,
    value: u64,
    unit: &'static str,
    least: u64,
    most: u64,
    /// `exception`, `fleet` or `program`
    from: &'static str,
    meaning: &'static str,
}

impl Rows for Defaults {
    const TITLES: &'static [&'static str] = &["NAME", "VALUE", "UNIT", "RANGE", "FROM", "MEANING"];

    fn rows(&self) -> Vec<Vec<String>> {
        let row = |v: &EffectiveValue| {
            let range = format!("{}-{}", v.least, v.most);
            let texts = [v.name, &v.value.to_string(), v.unit, &range, v.from, v.meaning.trim()];
            texts.map(str::to_owned).to_vec()
        };
        self.values.iter().map(row).collect()
    }
}

/// Lists the effective settings of a service, or of the fleet.
pub async fn defaults(fleet: &Fleet, service: Option<&str>, format: Format) -> Result<()> {
    let document = fleet.read().await?;
    if let Some(service) = service
        && !document.fleet.services.contains_key(service)
    {
        return Err(Error::Refused(format!("there is no service {service}")));
    }
    let exceptions = document.fleet.exceptions.iter().filter(|e| Some(&*e.service) == service);
    let exceptions: Vec<_> = exceptions.flat_map(|e| e.values.list()).collect();
    let defaults = document.fleet.defaults.list();
    let find = |list: &[(&str, u64)], name| list.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let effective = |field: &conf::Field| {
        let (value, from) = match (find(&exceptions, field.name), find(&defaults, field.name)) {
            (Some(value), _) => (value, "exception"),
            (None, Some(value)) => (value, "fleet"),
            (None, None) => (field.default, "program"),
        };
        let (least, most) = (*field.range.start(), *field.range.end());
        let meaning = field.description.trim();
        EffectiveValue { name: field.name, value, unit: field.unit, least, most, from, meaning }
    };
    let values = Values::FIELDS.iter().map(effective).collect();
    format.print(&Defaults { version: document.version, values })
}
