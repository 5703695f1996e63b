//! Counts of final answers for the burn report, kept by the minute and written
//! to the object store, one object at a time.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{Event, Name, now_ms};
use burn::{Count, HourCounts, PendingHour, Recorder};
use platform_client::ObjectStore;
use tokio::time::sleep;

/// Longest time that a stopping process spends on writing its last counts.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts of this process, shared by its threads.
pub struct SharedCounts {
    recorder: Mutex<Recorder>,
}

impl Default for SharedCounts {
    fn default() -> Self {
        Self { recorder: Mutex::new(Recorder::new(now_ms())) }
    }
}

impl SharedCounts {
    pub fn add(&self, service: &Name, count: Count) {
        self.with(|recorder| recorder.add(service, count, now_ms()));
    }

    fn with<T>(&self, act: impl FnOnce(&mut Recorder) -> T) -> T {
        act(&mut self.recorder.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Writes the counts to the object store, one object per interval.
pub struct CountWriter {
    objects: Rc<dyn ObjectStore>,
    counts: Arc<SharedCounts>,
    entry: Name,
    incarnation: u64,
}

/// Whether the process keeps running after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessPhase {
    Running,
    Stopping,
}

impl CountWriter {
    pub fn new(
        objects: Rc<dyn ObjectStore>,
        counts: Arc<SharedCounts>,
        entry: Name,
        incarnation: u64,
    ) -> Self {
        Self { objects, counts, entry, incarnation }
    }

    pub async fn run(&self, interval: Duration) {
        let mut available = true;
        loop {
            sleep(interval).await;
            let written = self.write(ProcessPhase::Running).await;
            match (&written, available) {
                (Ok(_), false) => Event::CountsRestored.log(format_args!("{}", self.entry)),
                (Err(e), true) => Event::CountsUnwritable.log(format_args!("{e}")),
                _ => {}
            }
            available = written.is_ok();
        }
    }

    /// Writes all remaining counts, unless the store fails or takes too long.
    pub async fn finish(&self) {
        let all = async {
            while !self.write(ProcessPhase::Stopping).await?.last {}
            platform_client::Result::Ok(())
        };
        match tokio::time::timeout(FINAL_WRITE_TIMEOUT, all).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => {
                Event::CountsUnwritable.log(format_args!("{e} while the process stopped"));
            }
            Err(_) => {
                Event::CountsUnwritable.log(format_args!("timed out while the process stopped"));
            }
        }
    }

    async fn write(&self, phase: ProcessPhase) -> platform_client::Result<PendingHour> {
        let now = now_ms();
        let pending = self.counts.with(|recorder| recorder.next_pending(now));
        let ended = phase == ProcessPhase::Stopping && pending.last;
        let counts = HourCounts { ended, ..pending.counts.clone() };
        let text =
            counts.to_text().map_err(|e| platform_client::Error::Malformed(e.to_string()))?;
        let name = HourCounts::object_name(&self.entry, self.incarnation, pending.hour);
        self.objects.store(&name, text).await?;
        self.counts.with(|recorder| recorder.mark_written(&pending, now));
        Ok(pending)
    }
}
