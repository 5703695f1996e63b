use base::Name;
use conf::Team;
use serde::Serialize;

use super::format::{Format, Rows};
use crate::{Result, client::Fleet};

#[derive(Serialize)]
struct Services {
    version: u64,
    services: Vec<Service>,
}

#[derive(Serialize)]
struct Service {
    service: Name,
    teams: Vec<TeamRow>,
    exceptions: usize,
}

#[derive(Serialize)]
struct TeamRow {
    team: Name,
    #[serde(flatten)]
    settings: Team,
}

impl Rows for Services {
    const TITLES: &'static [&'static str] = &["SERVICE", "TEAM", "WEIGHT", "QUOTA", "EXCEPTIONS"];

    fn rows(&self) -> Vec<Vec<String>> {
        self.services.iter().flat_map(Service::rows).collect()
    }
}

impl Service {
    fn rows(&self) -> Vec<Vec<String>> {
        let row = |team: &str, weight: String, quota: String| {
            vec![
                self.service.to_string(),
                team.to_owned(),
                weight,
                quota,
                self.exceptions.to_string(),
            ]
        };
        if self.teams.is_empty() {
            return vec![row("-", "-".to_owned(), "-".to_owned())];
        }
        let quota = |t: &TeamRow| t.settings.quota.map_or("none".to_owned(), |q| q.to_string());
        self.teams.iter().map(|t| row(&t.team, t.settings.weight.to_string(), quota(t))).collect()
    }
}

/// Lists the services and the teams that may call them.
pub async fn services(fleet: &Fleet, format: Format) -> Result<()> {
    let document = fleet.read().await?;
    let count =
        |name: &Name| document.fleet.exceptions.iter().filter(|e| e.service == *name).count();
    let services = document.fleet.services.iter().map(|(name, service)| Service {
        service: name.clone(),
        teams: service
            .teams
            .iter()
            .map(|(team, settings)| TeamRow { team: team.clone(), settings: settings.clone() })
            .collect(),
        exceptions: count(name),
    });
    format.print(&Services { version: document.version, services: services.collect() })
}
