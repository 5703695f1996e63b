use std::{env, process::ExitCode};

use platform_client::Version;

use crate::{
    Error, Result,
    cli::{self, Args, Subcommand},
    client::{Author, Entry, Fleet},
    commands::{self, DrainSwitch, SubmissionKind},
    queries,
};

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;
const HELP_WIDTH: usize = 100;

/// Parses the command line and runs one command or query.
pub fn run() -> ExitCode {
    let args = match cli::args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = if failure.exit_code() == 0 { 0 } else { USAGE_ERROR };
            return ExitCode::from(code);
        }
    };
    match actix::System::new().block_on(App::new(&args).execute(args)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("egretctl: {e}");
            e.exit_code()
        }
    }
}

struct App {
    fleet: Fleet,
    entry: Entry,
    author: Author,
}

impl App {
    fn new(args: &Args) -> Self {
        Self {
            fleet: Fleet::new(&args.platform),
            entry: Entry::new(&args.entry, &args.token),
            author: Author { name: author(args), expected: args.expect },
        }
    }

    async fn execute(&self, args: Args) -> Result<ExitCode> {
        match args.subcommand {
            Subcommand::Submit { service, file } => {
                commands::submit(&self.entry, &service, SubmissionKind::Request, &file).await
            }
            Subcommand::SubmitJob { service, file } => {
                commands::submit(&self.entry, &service, SubmissionKind::Job, &file).await
            }
            Subcommand::Cancel { team, key, service } => {
                commands::cancel(&self.entry, &service, &team, &key).await
            }
            Subcommand::Drain { agent } => self.drain(&agent, DrainSwitch::On).await,
            Subcommand::Undrain { agent } => self.drain(&agent, DrainSwitch::Off).await,
            subcommand => match self.change(subcommand).await? {
                ChangeOutcome::Config(version) => {
                    println!("configuration version {version}");
                    Ok(ExitCode::SUCCESS)
                }
                ChangeOutcome::Roster(version) => {
                    println!("roster version {version}");
                    Ok(ExitCode::SUCCESS)
                }
                ChangeOutcome::Unhandled(subcommand) => {
                    self.query(subcommand).await.map(|()| ExitCode::SUCCESS)
                }
            },
        }
    }

    async fn change(&self, subcommand: Subcommand) -> Result<ChangeOutcome> {
        let (fleet, author) = (&self.fleet, &self.author);
        let version = match subcommand {
            Subcommand::ServiceCreate { team, service } => {
                commands::create_service(fleet, author, &service.into(), team).await
            }
            Subcommand::ServiceChange { team, dropped, service } => {
                commands::change_service(fleet, author, &service.into(), team, dropped).await
            }
            Subcommand::ServiceRemove { service } => {
                commands::remove_service(fleet, author, &service.into()).await
            }
            Subcommand::DefaultSet { settings } => {
                commands::set_defaults(fleet, author, settings).await
            }
            Subcommand::DefaultClear { names } => {
                commands::clear_defaults(fleet, author, names).await
            }
            Subcommand::ExceptionAdd { reason, service, settings } => {
                let service = service.into();
                commands::add_exception(fleet, author, &service, settings, reason).await
            }
            Subcommand::ExceptionRemove { service, names } => {
                commands::remove_exception(fleet, author, &service.into(), names).await
            }
            Subcommand::ConfirmLoss { reason, service, agents } => {
                let lost: Vec<_> = agents.into_iter().map(Into::into).collect();
                let version =
                    commands::confirm_loss(fleet, author, &service, &lost, &reason).await?;
                return Ok(ChangeOutcome::Roster(version));
            }
            subcommand => return Ok(ChangeOutcome::Unhandled(subcommand)),
        };
        version.map(ChangeOutcome::Config)
    }

    async fn query(&self, subcommand: Subcommand) -> Result<()> {
        let (fleet, entry) = (&self.fleet, &self.entry);
        match subcommand {
            Subcommand::Services { format } => queries::services(fleet, format).await,
            Subcommand::Exceptions { format } => queries::exceptions(fleet, format).await,
            Subcommand::Defaults { format, service } => {
                queries::defaults(fleet, service.as_deref(), format).await
            }
            Subcommand::Roster { format, service } => {
                queries::roster(fleet, &service, format).await
            }
            Subcommand::Agents { format } => queries::agents(entry, format).await,
            Subcommand::Leased { agent_filter, format } => {
                queries::leased(entry, agent_filter, format).await
            }
            Subcommand::Jobs { format } => queries::jobs(entry, format).await,
            Subcommand::Racks { format } => queries::racks(entry, format).await,
            Subcommand::Drained { format } => queries::drained(entry, format).await,
            Subcommand::Backlog { format } => queries::backlog(entry, format).await,
            Subcommand::Confined { format } => queries::confined(entry, format).await,
            Subcommand::Entries { format } => queries::entries(fleet, entry, format).await,
            Subcommand::Burn { html, format } => {
                queries::burn(fleet, html.as_deref(), format).await
            }
            Subcommand::History { format } => queries::history(fleet, format).await,
            Subcommand::Status { team, key, format, service } => {
                queries::status(entry, &service, &team, &key, format).await
            }
            _ => Err(Error::Refused("internal error: the subcommand has no handler".to_owned())),
        }
    }

    async fn drain(&self, agent: &str, switch: DrainSwitch) -> Result<ExitCode> {
        println!("{}", commands::drain(&self.entry, agent, switch).await?);
        Ok(ExitCode::SUCCESS)
    }
}

/// What a subcommand changed; `Unhandled` returns one that changes nothing.
enum ChangeOutcome {
    Config(Version),
    Roster(Version),
    Unhandled(Subcommand),
}

fn author(args: &Args) -> Option<String> {
    args.author.clone().or_else(|| env::var("USER").ok()).filter(|name| !name.is_empty())
}
