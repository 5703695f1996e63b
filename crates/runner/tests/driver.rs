//! The driver with a backend server in the same process.

use std::{
    cell::{Cell, RefCell},
    io::Write,
    net::{TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::Duration,
};

use base::{Name, uptime};
use futures::{FutureExt, future::LocalBoxFuture};
use lease::{
    Batch, BatchStatus, BatchTask, Class, EndCause, Ending, LeaseBounds, LeaseTimings, Listing,
    RefusalReason, Resources, RunEnd, RunProgress, SessionId, StartOrder, StopOrder,
};
use runner::{Announcement, Backend, Driver, Error, Renewal, RenewalReply, Result, Terms};
use tokio::{io::AsyncReadExt, sync::oneshot, time::sleep};

const ENTRY: SessionId = SessionId(1);
/// Time until the backend server answers a start order.
const START_TIME: Duration = Duration::from_millis(10);

/// Backend server that answers each start order over a connection, as a real one does.
#[derive(Default)]
struct FakeBackend {
    starts: Cell<u32>,
    stops: Cell<u32>,
    running: RefCell<Vec<RunProgress>>,
    /// name that orders are addressed to
    addressed: RefCell<Option<Name>>,
    /// name of the server that answers; any if it is empty
    current: RefCell<Name>,
    /// start time of the server that answers
    life: Cell<u64>,
    /// ends that it lists
    ended: RefCell<Vec<RunEnd>>,
}

impl FakeBackend {
    fn new(id: &str, life: u64) -> Rc<Self> {
        let backend = Self::default();
        backend.begin_life(id, life);
        Rc::new(backend)
    }

    fn begin_life(&self, id: &str, life: u64) {
        *self.current.borrow_mut() = id.into();
        self.life.set(life);
        self.running.borrow_mut().clear();
        self.ended.borrow_mut().clear();
    }

    /// Ends all runs as done, with numbers from 1.
    fn finish_runs(&self) {
        let runs = std::mem::take(&mut *self.running.borrow_mut());
        let end = |(sequence, run): (u64, RunProgress)| RunEnd {
            sequence,
            task: run.task,
            run: run.run,
            cause: EndCause::Done,
        };
        *self.ended.borrow_mut() = (1..).zip(runs).map(end).collect();
    }

    fn is_addressed(&self) -> bool {
        let (addressed, current) = (self.addressed.borrow(), self.current.borrow());
        current.is_empty() || addressed.as_ref().is_none_or(|id| *id == *current)
    }
}

impl FakeBackend {
    async fn answer_start(&self, order: &StartOrder) -> Result<Duration> {
        self.starts.set(self.starts.get() + 1);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let mut answering = TcpStream::connect(address).expect("it listens");
        let (waiting, _) = listener.accept().expect("it is connected");
        waiting.set_nonblocking(true).expect("it is open");
        let mut waiting = tokio::net::TcpStream::from_std(waiting).expect("it is open");
        thread::spawn(move || {
            thread::sleep(START_TIME);
            answering.write_all(&[1]).expect("the answer is sent");
        });
        // another task reads the answer and passes it on, as in an HTTP client
        let (sender, answer) = oneshot::channel();
        actix::spawn(async move {
            waiting.read_u8().await.expect("the answer arrives");
            let _ = sender.send(());
        });
        answer.await.expect("the answer is passed on");
        let row = RunProgress { task: order.task.clone(), run: order.run, percent: 1 };
        self.running.borrow_mut().push(row);
        Ok(uptime())
    }

    async fn answer_renewal(&self, wait: Duration) -> Result<RenewalReply> {
        sleep(wait).await;
        if !self.is_addressed() {
            return Err(Error::Refused { reason: RefusalReason::OtherLife, clock: None });
        }
        let (running, ended) = (self.running.borrow().clone(), self.ended.borrow().clone());
        let started_ms = self.life.get();
        let listing = Listing { started_ms, running, ended, ..Listing::default() };
        Ok(RenewalReply { clock: uptime(), listing, has_odd_ends: false })
    }
}

impl Backend for FakeBackend {
    fn start<'a>(
        &'a self,
        order: &'a StartOrder,
        _terms: Terms,
    ) -> LocalBoxFuture<'a, Result<Duration>> {
        self.answer_start(order).boxed_local()
    }

    fn stop<'a>(&'a self, _order: &'a StopOrder, _fence: u64) -> LocalBoxFuture<'a, Result<()>> {
        self.stops.set(self.stops.get() + 1);
        async { Ok(()) }.boxed_local()
    }

    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, Result<RenewalReply>> {
        self.answer_renewal(renewal.wait).boxed_local()
    }

    fn set_instance(&self, id: Option<&Name>) {
        *self.addressed.borrow_mut() = id.cloned();
    }
}

fn announcement(id: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        started_ms,
        sequence,
        capacity: Resources { cpu: 16_000, memory: 1000, gpu: 0 },
        labels: vec![format!("kind-{started_ms}").as_str().into()],
        draining: false,
        remaining: None,
        cold_remaining: Duration::ZERO,
    }
}

fn batch() -> Batch {
    Batch {
        number: 1,
        job: "job".into(),
        queue: "queue".into(),
        spec: "spec".into(),
        resources: Resources { cpu: 1000, memory: 1, gpu: 0 },
        estimate: Duration::from_secs(2),
        class: Class::default(),
        max_wait: Duration::from_millis(500),
        time_left: Duration::from_secs(10),
        tasks: vec![BatchTask { index: 0, run: 1 }],
    }
}

/// A driver with a ready backend server.
async fn start_driver(backend: &Rc<FakeBackend>) -> Rc<Driver> {
    let timings = LeaseTimings::new(&LeaseBounds::default()).expect("there is time for leases");
    let driver = Driver::new(backend.clone(), timings);
    driver.start();
    assert!(driver.on_announcement(announcement("i-1", 1, 1)));
    wait_ready(&driver).await;
    driver
}

async fn wait_ready(driver: &Driver) {
    for _ in 0..100 {
        if driver.is_ready() {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("the agent was never ready");
}

/// Guards against a run that is stopped and started again because its agent was
/// suspended while the answer to its start order was under way.
#[test]
fn an_answer_that_arrived_during_a_suspension_counts() {
    actix::System::new().block_on(async {
        let backend = FakeBackend::new("i-1", 1);
        let driver = start_driver(&backend).await;
        driver.extend_session(ENTRY, &"entry".into(), uptime());
        let placed = driver.clone();
        actix::spawn(async move { placed.place(ENTRY, batch()).await });
        while backend.starts.get() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        // nothing in this thread runs meanwhile
        thread::sleep(Duration::from_millis(300));
        driver.extend_session(ENTRY, &"entry".into(), uptime());
        sleep(Duration::from_millis(100)).await;
        assert_eq!((backend.starts.get(), backend.stops.get()), (1, 0));
        assert_eq!(driver.counts(), (0, 1), "it runs");
    });
}

/// Guards against work for a backend server that has left: its last heartbeat may be
/// handled after the notice that it leaves, as they come over separate connections.
#[test]
fn a_delayed_heartbeat_of_a_server_that_left_is_refused() {
    actix::System::new().block_on(async {
        let backend = FakeBackend::new("i-1", 1);
        let driver = start_driver(&backend).await;
        driver.on_departure("i-1");
        assert!(!driver.on_announcement(announcement("i-1", 1, 2)), "it was sent before");
        assert!(!driver.is_ready());
        backend.begin_life("i-1", 2);
        // the next incarnation, with a name of its own or with the same
        assert!(driver.on_announcement(announcement("i-1", 2, 1)));
        wait_ready(&driver).await;
    });
}

/// Guards against an agent that refuses its backend server for good after a delayed
/// notice of an earlier incarnation with the same name.
#[test]
fn a_server_that_goes_on_after_it_left_is_used_again() {
    actix::System::new().block_on(async {
        let driver = start_driver(&FakeBackend::new("i-1", 1)).await;
        driver.on_departure("i-1");
        sleep(Duration::from_millis(1100)).await;
        assert!(driver.on_announcement(announcement("i-1", 1, 9)));
        wait_ready(&driver).await;
    });
}

/// Guards against a restarted agent that takes the delayed heartbeat of a server that has
/// left for one of its backend server: it has no memory of either.
#[test]
fn a_restarted_agent_uses_no_server_that_left() {
    actix::System::new().block_on(async {
        let backend = FakeBackend::new("i-2", 2);
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("there is time for leases");
        let driver = Driver::new(backend, timings);
        driver.start();
        assert!(driver.on_announcement(announcement("i-1", 1, 9)), "it is the first one");
        for _ in 0..60 {
            sleep(Duration::from_millis(5)).await;
            assert!(!driver.is_ready(), "no listing of it has come");
        }
        assert!(driver.on_announcement(announcement("i-2", 2, 1)));
        wait_ready(&driver).await;
        assert!(!driver.on_announcement(announcement("i-1", 1, 10)));
    });
}

macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident($backend:ident, $driver:ident) $body:block)*) => {
        $($(#[doc = $doc])*
        #[test]
        fn $name() {
            actix::System::new().block_on(async {
                let $backend = FakeBackend::new("i-1", 1);
                let $driver = start_driver(&$backend).await;
                $body
            });
        })*
    };
}

/// Time for several listings of an idle server.
const LISTINGS_TIME: Duration = Duration::from_millis(700);

cases! {
    /// Guards against one message of another writer that makes an agent refuse all true
    /// heartbeats, so that it starts work on a draining server (review/2).
    an_announcement_of_a_life_that_no_listing_shows_changes_nothing(backend, driver) {
        for (id, life) in [("i-1", 9), ("i-9", 9), ("i-9", u64::MAX)] {
            driver.on_announcement(announcement(id, life, 1));
            // a listing answers meanwhile
            sleep(Duration::from_millis(50)).await;
            assert!(driver.is_ready());
            assert_eq!((driver.life(), &*driver.labels()), (1, &["kind-1".into()][..]));
            assert_eq!(*backend.addressed.borrow(), Some("i-1".into()), "orders name it");
        }
        let draining = Announcement { draining: true, ..announcement("i-1", 1, 2) };
        assert!(driver.on_announcement(draining));
        assert!(!driver.is_ready());
        sleep(LISTINGS_TIME).await;
        assert!(!driver.is_ready());
    }

    /// Guards against tasks on a server that has restarted as another kind (review/4).
    a_restarted_server_has_no_labels_and_gets_nothing_before_it_announces_itself(backend, driver) {
        backend.begin_life("i-1", 2);
        while driver.is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!((driver.life(), driver.labels().len()), (0, 0));
        assert!(!driver.on_announcement(announcement("i-1", 1, 2)), "of the former life");
        sleep(LISTINGS_TIME).await;
        assert!(!driver.is_ready());
        assert!(driver.on_announcement(announcement("i-1", 2, 1)));
        wait_ready(&driver).await;
        assert_eq!(&*driver.labels(), ["kind-2".into()]);
    }

    /// Guards against an agent that addresses a server that is gone, and gets no listing.
    a_server_with_another_id_is_used_once_it_announces_itself(backend, driver) {
        backend.begin_life("i-2", 2);
        sleep(LISTINGS_TIME).await;
        assert!(!driver.is_ready());
        assert!(driver.on_announcement(announcement("i-2", 2, 1)));
        wait_ready(&driver).await;
    }

    /// Guards against done tasks that count as lost after a planned restart, because the
    /// numbers of ends were those of the former life.
    ends_are_seen_after_a_planned_restart(backend, driver) {
        for life in 1..4 {
            driver.extend_session(ENTRY, &"entry".into(), uptime());
            let placed = driver.clone();
            let done = actix::spawn(async move {
                let batch = Batch { number: life, ..batch() };
                placed.place(ENTRY, batch).await
            });
            while backend.running.borrow().is_empty() {
                driver.extend_session(ENTRY, &"entry".into(), uptime());
                sleep(Duration::from_millis(1)).await;
            }
            backend.finish_runs();
            let status = done.await.expect("the call runs to its end");
            let BatchStatus::Progress(progress) = status else { panic!("{status:?}") };
            assert_eq!(progress.results[0].ending, Ending::Done, "in life {life}");
            driver.on_departure(&format!("i-{life}"));
            let id = format!("i-{}", life + 1);
            backend.begin_life(&id, life + 1);
            assert!(driver.on_announcement(announcement(&id, life + 1, 1)));
            wait_ready(&driver).await;
        }
    }
}
