use std::process::ExitCode;

use crate::{
    Result,
    cli::{self, Args, Verb},
    client::{Fleet, Work},
    commands, queries,
};

/// Runs one command or query.
pub fn run() -> ExitCode {
    let args = cli::args().run();
    match actix::System::new().block_on(carry_out(args)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("egretctl: {e}");
            ExitCode::from(1)
        }
    }
}

async fn carry_out(args: Args) -> Result<ExitCode> {
    let fleet = Fleet::new(&args.platform);
    match args.verb {
        Verb::ServiceCreate { team, service } => {
            let teams = team.into_iter().map(Into::into).collect();
            commands::create_service(&fleet, service.into(), teams).await
        }
        Verb::Services => queries::services(&fleet).await,
        Verb::Submit { service, file } => {
            commands::submit(&args.entry, &service, Work::Request, &file).await
        }
        Verb::SubmitJob { service, file } => {
            commands::submit(&args.entry, &service, Work::Job, &file).await
        }
    }
}
