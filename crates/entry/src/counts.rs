//! Counts of final answers for the report on service-level burn: kept by the
//! minute and written to the object store, one object at a time.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{Event, Name, now_ms};
use burn::{Count, HourCounts, PendingHour, Recorder};
use plat::ObjectStore;
use tokio::time::sleep;

/// Time for the last counts of a process that stops.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts of this process that the threads share.
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

/// Writes the counts to the object store, one object at each period.
pub struct CountWriter {
    objects: Rc<dyn ObjectStore>,
    counts: Arc<SharedCounts>,
    entry: Name,
    incarnation: u64,
}

/// Whether the process goes on after a write.
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

    pub async fn run(&self, period: Duration) {
        let mut up = true;
        loop {
            sleep(period).await;
            let written = self.write(ProcessPhase::Running).await;
            match (&written, up) {
                (Ok(_), false) => Event::CountsRestored.log(format_args!("{}", self.entry)),
                (Err(e), true) => Event::CountsUnwritable.log(format_args!("{e}")),
                _ => {}
            }
            up = written.is_ok();
        }
    }

    /// Writes all that is left, if the store takes it in time.
    pub async fn finish(&self) {
        let all = async {
            while let Ok(draft) = self.write(ProcessPhase::Stopping).await {
                if draft.last {
                    return;
                }
            }
        };
        if tokio::time::timeout(FINAL_WRITE_TIMEOUT, all).await.is_err() {
            Event::CountsUnwritable.log(format_args!("not in time for the end of the process"));
        }
    }

    async fn write(&self, life: ProcessPhase) -> plat::Result<PendingHour> {
        let now = now_ms();
        let draft = self.counts.with(|recorder| recorder.next_pending(now));
        let ended = life == ProcessPhase::Stopping && draft.last;
        let chunk = HourCounts { ended, ..draft.chunk.clone() };
        let text = chunk.to_text().map_err(|e| plat::Error::Malformed(e.to_string()))?;
        let name = HourCounts::object_name(&self.entry, self.incarnation, draft.hour);
        self.objects.store(&name, text).await?;
        self.counts.with(|recorder| recorder.mark_written(&draft, now));
        Ok(draft)
    }
}
