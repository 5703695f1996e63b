use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use awc::Client;
use tokio::time::sleep;

const PROBE_INTERVAL: Duration = Duration::from_millis(20);
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends calls to ready entries only, as the platform's load balancer does.
#[derive(Clone)]
pub struct Balancer {
    ready: Rc<RefCell<Vec<bool>>>,
    next: Rc<Cell<usize>>,
}

impl Balancer {
    /// Starts probing the readiness of each entry, until the test ends.
    pub fn start(ports: &[u16]) -> Self {
        let ready = Rc::new(RefCell::new(vec![true; ports.len()]));
        for (i, port) in ports.iter().enumerate() {
            let url = format!("http://127.0.0.1:{port}/readyz");
            actix_web::rt::spawn(probe(url, i, ready.clone()));
        }
        Self { ready, next: Rc::default() }
    }

    /// Picks the next ready entry, round-robin.
    pub fn pick(&self) -> usize {
        let ready = self.ready.borrow();
        let start = self.next.get();
        self.next.set(start + 1);
        let mut candidates = (start..start + ready.len()).map(|i| i % ready.len());
        candidates.find(|i| ready[*i]).unwrap_or(0)
    }
}

async fn probe(url: String, i: usize, ready: Rc<RefCell<Vec<bool>>>) {
    let client = Client::builder().timeout(PROBE_TIMEOUT).finish();
    loop {
        let is_ready = client.get(&url).send().await.is_ok_and(|r| r.status().is_success());
        ready.borrow_mut()[i] = is_ready;
        sleep(PROBE_INTERVAL).await;
    }
}
