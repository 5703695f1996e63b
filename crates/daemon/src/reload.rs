use std::{fs, time::Duration};

use base::{Event, Name};
use conf::Validate;
use serde::de::DeserializeOwned;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::timeout,
};

/// How often the settings file is checked; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Reloads the settings when their file changes or on SIGHUP, and passes them to
/// `changed`. Invalid settings are logged and ignored.
pub async fn watch_settings<S: DeserializeOwned + Validate>(path: Name, changed: impl Fn(S)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut current = fs::read_to_string(&*path).unwrap_or_default();
    loop {
        let signalled = timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        // a file that is just being replaced is read at the next poll
        let Ok(text) = fs::read_to_string(&*path) else { continue };
        if text == current && !signalled {
            continue;
        }
        let same = text == current;
        current = text;
        match conf::load::<S>(&path) {
            Ok(settings) => {
                Event::SettingsChanged
                    .note(&[("signalled", signalled.into()), ("same", same.into())]);
                changed(settings);
            }
            Err(e) => Event::SettingsRejected.log(format_args!("{e}")),
        }
    }
}
