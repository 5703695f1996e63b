use std::{env, process::ExitCode};

use platform_client::Version;

use crate::{
    Error, Result,
    cli::{self, Args, Verb},
    client::{Author, Entry, Fleet},
    commands::{self, Turn, Work},
    queries,
};

/// Exit code for a command line that can't be read.
const USAGE: u8 = 2;
const LINE_WIDTH: usize = 100;

/// Runs one command or query.
pub fn run() -> ExitCode {
    let args = match cli::args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(LINE_WIDTH);
            let code = if failure.exit_code() == 0 { 0 } else { USAGE };
            return ExitCode::from(code);
        }
    };
    match actix::System::new().block_on(App::new(&args).carry_out(args)) {
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
            author: Author { name: author(args), expect: args.expect },
        }
    }

    async fn carry_out(&self, args: Args) -> Result<ExitCode> {
        match args.verb {
            Verb::Submit { service, file } => {
                commands::submit(&self.entry, &service, Work::Request, &file).await
            }
            Verb::SubmitJob { service, file } => {
                commands::submit(&self.entry, &service, Work::Job, &file).await
            }
            Verb::Cancel { team, key, service } => {
                commands::cancel(&self.entry, &service, &team, &key).await
            }
            Verb::Drain { agent } => self.drain(&agent, Turn::On).await,
            Verb::Undrain { agent } => self.drain(&agent, Turn::Off).await,
            verb => match self.configure(verb).await? {
                Handled::Changed(version) => {
                    println!("configuration version {version}");
                    Ok(ExitCode::SUCCESS)
                }
                Handled::Roster(version) => {
                    println!("roster version {version}");
                    Ok(ExitCode::SUCCESS)
                }
                Handled::Other(verb) => self.query(verb).await.map(|()| ExitCode::SUCCESS),
            },
        }
    }

    async fn configure(&self, verb: Verb) -> Result<Handled> {
        let (fleet, author) = (&self.fleet, &self.author);
        let version = match verb {
            Verb::ServiceCreate { team, service } => {
                commands::create_service(fleet, author, &service.into(), team).await
            }
            Verb::ServiceChange { team, dropped, service } => {
                commands::change_service(fleet, author, &service.into(), team, dropped).await
            }
            Verb::ServiceRemove { service } => {
                commands::remove_service(fleet, author, &service.into()).await
            }
            Verb::DefaultSet { settings } => commands::set_defaults(fleet, author, settings).await,
            Verb::DefaultClear { names } => commands::clear_defaults(fleet, author, names).await,
            Verb::ExceptionAdd { reason, service, settings } => {
                let service = service.into();
                commands::add_exception(fleet, author, &service, settings, reason).await
            }
            Verb::ExceptionRemove { service, names } => {
                commands::remove_exception(fleet, author, &service.into(), names).await
            }
            Verb::ConfirmLoss { reason, service, agents } => {
                let lost: Vec<_> = agents.into_iter().map(Into::into).collect();
                let version =
                    commands::confirm_loss(fleet, author, &service, &lost, &reason).await?;
                return Ok(Handled::Roster(version));
            }
            verb => return Ok(Handled::Other(verb)),
        };
        version.map(Handled::Changed)
    }

    async fn query(&self, verb: Verb) -> Result<()> {
        let (fleet, entry) = (&self.fleet, &self.entry);
        match verb {
            Verb::Services { format } => queries::services(fleet, format).await,
            Verb::Exceptions { format } => queries::exceptions(fleet, format).await,
            Verb::Defaults { format, service } => {
                queries::defaults(fleet, service.as_deref(), format).await
            }
            Verb::Roster { format, service } => queries::roster(fleet, &service, format).await,
            Verb::Agents { format } => queries::agents(entry, format).await,
            Verb::Leased { format } => queries::leased(entry, format).await,
            Verb::Jobs { format } => queries::jobs(entry, format).await,
            Verb::Entries { format } => queries::entries(fleet, entry, format).await,
            Verb::Burn { html, format } => queries::burn(fleet, html.as_deref(), format).await,
            Verb::History { format } => queries::history(fleet, format).await,
            Verb::Status { team, key, format, service } => {
                queries::status(entry, &service, &team, &key, format).await
            }
            _ => Err(Error::Refused("not a query".to_owned())),
        }
    }

    async fn drain(&self, agent: &str, turn: Turn) -> Result<ExitCode> {
        println!("{}", commands::drain(&self.entry, agent, turn).await?);
        Ok(ExitCode::SUCCESS)
    }
}

/// A verb that changed the configuration or a roster, or one that doesn't.
enum Handled {
    Changed(Version),
    Roster(Version),
    Other(Verb),
}

fn author(args: &Args) -> Option<String> {
    args.author.clone().or_else(|| env::var("USER").ok()).filter(|name| !name.is_empty())
}
