use std::{rc::Rc, sync::Arc, time::Duration};

use conf::Fleet;
use plat::{Availability, Table};
use tokio::time::sleep;

use super::CurrentFleet;

/// Reads the fleet configuration from the platform's table at every poll.
pub struct ConfigWatcher {
    table: Rc<dyn Table>,
    current: Arc<CurrentFleet>,
    poll: Duration,
}

impl ConfigWatcher {
    pub fn new(table: Rc<dyn Table>, current: Arc<CurrentFleet>, poll: Duration) -> Self {
        Self { table, current, poll }
    }

    pub async fn run(self) {
        let mut reach = Availability::new("fleet configuration");
        loop {
            let read = self.table.get(Fleet::ROW_KEY).await;
            reach.record(&read);
            if let Ok(row) = read {
                self.current.offer(row.version, &row.value);
            }
            sleep(self.poll).await;
        }
    }
}
