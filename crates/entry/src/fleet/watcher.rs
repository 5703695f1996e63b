use std::{rc::Rc, sync::Arc, time::Duration};

use base::Event;
use conf::Fleet;
use plat::Table;
use tokio::time::sleep;

use super::Current;

/// Reads the fleet configuration from the platform's table at every poll.
pub struct Watcher {
    table: Rc<dyn Table>,
    current: Arc<Current>,
    poll: Duration,
}

impl Watcher {
    pub fn new(table: Rc<dyn Table>, current: Arc<Current>, poll: Duration) -> Self {
        Self { table, current, poll }
    }

    pub async fn run(self) {
        let mut up = true;
        loop {
            let read = self.table.get(Fleet::ROW).await;
            match (&read, up) {
                (Ok(_), false) => Event::PlatformBack.log(format_args!("fleet configuration read")),
                (Err(e), true) => Event::PlatformDown.log(format_args!("{e}")),
                _ => {}
            }
            up = read.is_ok();
            if let Ok(row) = read {
                self.current.offer(row.version, &row.value);
            }
            sleep(self.poll).await;
        }
    }
}
