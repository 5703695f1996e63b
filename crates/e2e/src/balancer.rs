use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use awc::Client;
use tokio::time::sleep;

const POLL: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_millis(200);

/// Knows which entries are ready, as the platform's balancer would.
#[derive(Clone)]
pub struct Balancer {
    ready: Rc<RefCell<Vec<bool>>>,
    next: Rc<Cell<usize>>,
}

impl Balancer {
    /// Polls the readiness of each entry for as long as the test runs.
    pub fn start(ports: &[u16]) -> Self {
        let ready = Rc::new(RefCell::new(vec![true; ports.len()]));
        for (i, port) in ports.iter().enumerate() {
            let url = format!("http://127.0.0.1:{port}/readyz");
            actix_web::rt::spawn(poll(url, i, ready.clone()));
        }
        Self { ready, next: Rc::default() }
    }

    /// The next ready entry in turn.
    pub fn pick(&self) -> usize {
        let ready = self.ready.borrow();
        let start = self.next.get();
        self.next.set(start + 1);
        let mut turn = (start..start + ready.len()).map(|i| i % ready.len());
        turn.find(|i| ready[*i]).unwrap_or(0)
    }
}

async fn poll(url: String, i: usize, ready: Rc<RefCell<Vec<bool>>>) {
    let client = Client::builder().timeout(TIMEOUT).finish();
    loop {
        let up = client.get(&url).send().await.is_ok_and(|r| r.status().is_success());
        ready.borrow_mut()[i] = up;
        sleep(POLL).await;
    }
}
