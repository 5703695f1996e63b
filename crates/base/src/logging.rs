use std::io;

use log::LevelFilter;

use crate::now_ms;

/// Sends log lines to standard error: time, level, program, event.
///
/// # Errors
/// When logging was started before.
pub fn start_logging(program: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let program = program.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {:5} {program} {message}", now_ms(), record.level()))
        })
        .level(LevelFilter::Warn)
        .level_for("base", level)
        .chain(io::stderr())
        .apply()
}
