use std::{collections::BTreeMap, str::FromStr};

use base::Name;
use conf::{Service, Team};
use platform_client::Version;

use crate::{
    Error, Result,
    client::{Author, Fleet},
};

/// A team with its weight and quota, as given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub name: Name,
    pub team: Team,
}

impl FromStr for Grant {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let mut parts = text.split(',');
        let name = parts.next().unwrap_or_default();
        let mut team = Team::default();
        for part in parts {
            let Some((field, value)) = part.split_once('=') else {
                return Err(format!("{part}: expected weight=N or quota=N"));
            };
            let value = value.parse().map_err(|_| format!("{part}: not a whole number"))?;
            match field {
                "weight" => team.weight = value,
                "quota" => team.quota = Some(value),
                _ => return Err(format!("{field}: unknown field; expected weight or quota")),
            }
        }
        Ok(Self { name: name.into(), team })
    }
}

/// Creates a service that the given teams may call.
pub async fn create_service(
    fleet: &Fleet,
    author: &Author,
    service: &Name,
    grants: Vec<Grant>,
) -> Result<Version> {
    let summary = format!("service {service} created");
    let edit = |fleet: &mut conf::FleetConfig| {
        if fleet.services.contains_key(service) {
            return Err(Error::Refused(format!("service {service} already exists")));
        }
        let teams = grants.into_iter().map(|g| (g.name, g.team)).collect();
        fleet.services.insert(service.clone(), Service { teams });
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

/// Adds, changes and removes teams of a service.
pub async fn change_service(
    fleet: &Fleet,
    author: &Author,
    service: &Name,
    grants: Vec<Grant>,
    removed: Vec<String>,
) -> Result<Version> {
    let summary = format!("teams of service {service}: {}", describe(&grants, &removed));
    let edit = |fleet: &mut conf::FleetConfig| {
        let teams = &mut find_service(fleet, service)?.teams;
        for team in &removed {
            remove_team(teams, team)?;
        }
        teams.extend(grants.into_iter().map(|g| (g.name, g.team)));
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

/// Removes a service that has no exceptions left.
pub async fn remove_service(fleet: &Fleet, author: &Author, service: &Name) -> Result<Version> {
    let summary = format!("service {service} removed");
    let edit = |fleet: &mut conf::FleetConfig| {
        find_service(fleet, service)?;
        if fleet.exceptions.iter().any(|e| e.service == *service) {
            return Err(Error::Refused(format!("remove the exceptions of {service} first")));
        }
        fleet.services.remove(service);
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

fn find_service<'a>(fleet: &'a mut conf::FleetConfig, service: &Name) -> Result<&'a mut Service> {
    let missing = || Error::Refused(format!("there is no service {service}"));
    fleet.services.get_mut(service).ok_or_else(missing)
}

fn remove_team(teams: &mut BTreeMap<Name, Team>, team: &str) -> Result<()> {
    match teams.remove(team) {
        Some(_) => Ok(()),
        None => Err(Error::Refused(format!("the service has no team {team}"))),
    }
}

fn describe(grants: &[Grant], removed: &[String]) -> String {
    let added = grants.iter().map(|g| {
        let quota = g.team.quota.map_or_else(|| "none".to_owned(), |q| q.to_string());
        format!("{} weight {} quota {quota}", g.name, g.team.weight)
    });
    let removed = removed.iter().map(|t| format!("{t} dropped"));
    added.chain(removed).collect::<Vec<_>>().join(", ")
}
