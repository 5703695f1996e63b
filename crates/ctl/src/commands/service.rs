use std::process::ExitCode;

use base::Name;

use crate::{Error, Result, client::Fleet};

/// Creates a service that the given teams may call.
pub async fn create_service(fleet: &Fleet, service: Name, teams: Vec<Name>) -> Result<ExitCode> {
    let mut document = fleet.read().await?;
    if document.fleet.services.contains_key(&service) {
        return Err(Error::Refused(format!("service {service} is there already")));
    }
    document.fleet.services.insert(
        service.clone(),
        conf::Service { teams: teams.into_iter().map(|t| (t, conf::Team::default())).collect() },
    );
    let version = fleet.write(&document).await?;
    println!("service {service} created, configuration version {version}");
    Ok(ExitCode::SUCCESS)
}
