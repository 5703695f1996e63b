use std::{rc::Rc, sync::Arc, time::Duration};

use conf::FleetConfig;
use platform_client::{Availability, Table};
use tokio::time::sleep;

use super::CurrentFleet;

/// Polls the platform's table for the fleet configuration.
pub struct ConfigWatcher {
    table: Rc<dyn Table>,
    current: Arc<CurrentFleet>,
    poll_interval: Duration,
}

impl ConfigWatcher {
    pub fn new(table: Rc<dyn Table>, current: Arc<CurrentFleet>, poll_interval: Duration) -> Self {
        Self { table, current, poll_interval }
    }

    pub async fn run(self) {
        let mut availability = Availability::new("fleet configuration");
        loop {
            let read = self.table.get(FleetConfig::ROW_KEY).await;
            availability.record(&read);
            if let Ok(row) = read {
                self.current.offer(row.version, &row.value);
            }
            sleep(self.poll_interval).await;
        }
    }
}
