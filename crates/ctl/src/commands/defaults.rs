use std::str::FromStr;

use conf::Values;
use platform_client::Version;

use crate::{
    Error, Result,
    client::{Author, Fleet},
};

/// A setting as given on the command line: `name=number`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    pub name: String,
    pub value: u64,
}

impl FromStr for Setting {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let Some((name, value)) = text.split_once('=') else {
            return Err("expected name=number, such as deadline_ms=5000".to_owned());
        };
        let value = value.parse().map_err(|_| match Values::field(name) {
            Some(field) => format!("{name} must be a whole number of {}", field.unit),
            None => format!("{value} is not a whole number"),
        })?;
        Ok(Self { name: name.to_owned(), value })
    }
}

/// Sets fleet-wide defaults.
pub async fn set_defaults(
    fleet: &Fleet,
    author: &Author,
    settings: Vec<Setting>,
) -> Result<Version> {
    let summary = format!("defaults set: {}", describe(&settings));
    let edit = |fleet: &mut conf::FleetConfig| {
        settings.iter().try_for_each(|s| set_value(&mut fleet.defaults, &s.name, Some(s.value)))
    };
    fleet.change(author, &summary, edit).await
}

/// Clears fleet-wide defaults, so that the built-in ones apply.
pub async fn clear_defaults(fleet: &Fleet, author: &Author, names: Vec<String>) -> Result<Version> {
    let summary = format!("defaults cleared: {}", names.join(", "));
    let edit = |fleet: &mut conf::FleetConfig| {
        names.iter().try_for_each(|name| set_value(&mut fleet.defaults, name, None))
    };
    fleet.change(author, &summary, edit).await
}

/// Sets or clears one value.
pub fn set_value(values: &mut Values, name: &str, value: Option<u64>) -> Result<()> {
    if values.set(name, value) {
        return Ok(());
    }
    let names: Vec<_> = Values::FIELDS.iter().map(|f| f.name).collect();
    Err(Error::Refused(format!("unknown setting {name}; known settings: {}", names.join(", "))))
}

/// Formats settings for the summary of a change.
pub fn describe(settings: &[Setting]) -> String {
    let all: Vec<_> = settings.iter().map(|s| format!("{}={}", s.name, s.value)).collect();
    all.join(", ")
}
