use std::future::Future;

use base::Name;
use conf::Validate;
use log::LevelFilter;
use serde::de::DeserializeOwned;

use crate::{Args, Result};

/// Loads and checks the settings, starts logging, and runs `serve` to its end.
///
/// # Errors
/// When the settings are invalid or the daemon can't start.
pub fn run<S, F>(about: &'static str, serve: impl FnOnce(S) -> F) -> eyre::Result<()>
where
    S: DeserializeOwned + Validate,
    F: Future<Output = Result<()>>,
{
    run_with_path(about, |settings, _| serve(settings))
}

/// Like [`run`], but passes the path of the settings, for a daemon that reloads them.
///
/// # Errors
/// When the settings are invalid or the daemon can't start.
pub fn run_with_path<S, F>(
    about: &'static str,
    serve: impl FnOnce(S, Name) -> F,
) -> eyre::Result<()>
where
    S: DeserializeOwned + Validate,
    F: Future<Output = Result<()>>,
{
    let args = Args::parse(about);
    let settings: S = conf::load(&args.settings)?;
    if args.check_settings {
        println!("{}: no faults", args.settings);
        return Ok(());
    }
    base::start_logging(settings.name(), LevelFilter::Info)?;
    let served = actix::System::new().block_on(serve(settings, args.settings.as_str().into()));
    base::flush_log();
    Ok(served?)
}
