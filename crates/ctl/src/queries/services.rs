use std::process::ExitCode;

use crate::{Result, client::Fleet};

/// Lists the services and the teams that may call them.
pub async fn services(fleet: &Fleet) -> Result<ExitCode> {
    let document = fleet.read().await?;
    for (name, service) in &document.fleet.services {
        let teams: Vec<&str> = service.teams.keys().map(|t| &**t).collect();
        println!("{name}\t{}", teams.join(","));
    }
    Ok(ExitCode::SUCCESS)
}
