use std::{collections::BTreeMap, str::FromStr};

use base::Name;
use conf::{Service, Team};
use platform_client::Version;

use crate::{
    Error, Result,
    client::{Author, Fleet},
};

/// A team with its weight and quota, as written on the command line.
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
                return Err(format!("{part}: write weight=N or quota=N"));
            };
            let value = value.parse().map_err(|_| format!("{part}: not a whole number"))?;
            match field {
                "weight" => team.weight = value,
                "quota" => team.quota = Some(value),
                _ => return Err(format!("{field}: a team has a weight and a quota")),
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
            return Err(Error::Refused(format!("service {service} is there already")));
        }
        let teams = grants.into_iter().map(|g| (g.name, g.team)).collect();
        fleet.services.insert(service.clone(), Service { teams });
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

/// Adds or changes teams of a service, and drops others.
pub async fn change_service(
    fleet: &Fleet,
    author: &Author,
    service: &Name,
    grants: Vec<Grant>,
    dropped: Vec<String>,
) -> Result<Version> {
    let summary = format!("teams of service {service}: {}", describe(&grants, &dropped));
    let edit = |fleet: &mut conf::FleetConfig| {
        let teams = &mut find(fleet, service)?.teams;
        for team in &dropped {
            drop_team(teams, team)?;
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
        find(fleet, service)?;
        if fleet.exceptions.iter().any(|e| e.service == *service) {
            return Err(Error::Refused(format!("remove the exceptions of {service} first")));
        }
        fleet.services.remove(service);
        Ok(())
    };
    fleet.change(author, &summary, edit).await
}

fn find<'a>(fleet: &'a mut conf::FleetConfig, service: &Name) -> Result<&'a mut Service> {
    let missing = || Error::Refused(format!("there is no service {service}"));
    fleet.services.get_mut(service).ok_or_else(missing)
}

fn drop_team(teams: &mut BTreeMap<Name, Team>, team: &str) -> Result<()> {
    match teams.remove(team) {
        Some(_) => Ok(()),
        None => Err(Error::Refused(format!("the service has no team {team}"))),
    }
}

fn describe(grants: &[Grant], dropped: &[String]) -> String {
    let added = grants.iter().map(|g| {
        let quota = g.team.quota.map_or_else(|| "none".to_owned(), |q| q.to_string());
        format!("{} weight {} quota {quota}", g.name, g.team.weight)
    });
    let gone = dropped.iter().map(|t| format!("{t} dropped"));
    added.chain(gone).collect::<Vec<_>>().join(", ")
}
