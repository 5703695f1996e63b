//! An agent that has just started must not take a task before it knows whether
//! its data centre is drained, however early the task arrives.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::System;
use base::{Token, uptime};
use capnp::Error;
use conf::VisitSettings;
use drain::{CurrentDrains, DrainedCentre, Drains};
use futures::{FutureExt, future::LocalBoxFuture};
use lease::{
    Batch, BatchStatus, BatchTask, Class, Ending, LeaseBounds, LeaseTimings, Listing, Resources,
    SessionId, StartOrder, StopOrder,
};
use runner::{
    Announcement, Backend, Driver, EntrySessions, Identity, Renewal, RenewalReply, Result, Terms,
};
use tokio::time::sleep;
use wire::{
    Bootstrap, Welcome,
    egret_capnp::{entry, worker},
    read_batch_status, read_hello, write_batch, write_welcome,
};

/// Time in which a task sent before the answer reaches the agent.
const ANSWER_DELAY: Duration = Duration::from_millis(60);
const INCARNATION: u64 = 1;

/// Backend server that counts the start orders.
#[derive(Default)]
struct CountingBackend {
    starts: Cell<u32>,
}

impl Backend for CountingBackend {
    fn start<'a>(&'a self, _: &'a StartOrder, _: Terms) -> LocalBoxFuture<'a, Result<Duration>> {
        self.starts.set(self.starts.get() + 1);
        async { Ok(uptime()) }.boxed_local()
    }

    fn stop<'a>(&'a self, _: &'a StopOrder, _: u64) -> LocalBoxFuture<'a, Result<()>> {
        async { Ok(()) }.boxed_local()
    }

    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, Result<RenewalReply>> {
        async move {
            sleep(renewal.wait).await;
            let listing =
                Listing { requested_at: uptime(), started_ms: 1, running: vec![], ended: vec![] };
            Ok(RenewalReply { clock: uptime(), listing, has_odd_ends: false })
        }
        .boxed_local()
    }

    fn set_instance(&self, _: Option<&base::Name>) {}
}

/// Entry that sends a task as soon as it gets the first heartbeat, and answers the
/// heartbeat later.
struct HastyEntry {
    drains: Drains,
    status: Rc<RefCell<Option<BatchStatus>>>,
    placed: Cell<bool>,
}

impl entry::Server for HastyEntry {
    async fn join(
        self: Rc<Self>,
        params: entry::JoinParams,
        mut results: entry::JoinResults,
    ) -> std::result::Result<(), Error> {
        let params = params.get()?;
        let hello = read_hello(params.get_hello()?).map_err(|e| Error::failed(e.to_string()))?;
        if hello.load.ready && params.has_worker() && !self.placed.replace(true) {
            let (worker, status) = (params.get_worker()?, self.status.clone());
            let alive_us = hello.sent_at.as_micros() as u64;
            actix::spawn(async move {
                *status.borrow_mut() = place(worker, alive_us).await;
            });
        }
        sleep(ANSWER_DELAY).await;
        let welcome = Welcome {
            name: "entry".into(),
            incarnation: INCARNATION,
            entries: Vec::new(),
            config_version: 1,
            config: None,
            surplus: false,
            entries_digest: 0,
            centre: "z9".into(),
            drains: self.drains.clone(),
        };
        write_welcome(results.get().init_welcome(), &welcome);
        Ok(())
    }
}

async fn place(worker: worker::Client, alive_us: u64) -> Option<BatchStatus> {
    let batch = Batch {
        number: 1,
        job: "job".into(),
        queue: "queue".into(),
        spec: "".into(),
        resources: Resources { cpu: 1000, ..Resources::default() },
        estimate: Duration::from_millis(50),
        class: Class::default(),
        max_wait: Duration::from_secs(1),
        time_left: Duration::from_secs(5),
        tasks: vec![BatchTask { index: 0, run: 1 }],
    };
    let mut req = worker.place_request();
    req.get().set_session(SessionId::of("entry", INCARNATION).0);
    req.get().set_heard_us(alive_us);
    write_batch(req.get().init_batch(), &batch);
    let res = req.send().promise.await.ok()?;
    read_batch_status(res.get().ok()?.get_progress().ok()?).ok()
}

/// Starts an agent beside a hasty entry; gives the start orders, and what became of
/// the task.
fn start_agent(drains: Drains) -> (u32, Option<BatchStatus>) {
    System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let (token, status) = (Token::default(), Rc::<RefCell<Option<BatchStatus>>>::default());
        let entry = HastyEntry { drains, status: status.clone(), placed: Cell::default() };
        let bootstrap = Bootstrap::for_entry(token.clone(), capnp_rpc::new_client(entry));
        actix::spawn(wire::serve(listener, bootstrap));
        let backend = Rc::<CountingBackend>::default();
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("defaults are valid");
        let driver = Driver::new(backend.clone(), timings);
        driver.start();
        driver.on_announcement(Announcement {
            id: "i-1".into(),
            started_ms: 1,
            sequence: 1,
            capacity: Resources { cpu: 8000, ..Resources::default() },
            labels: Vec::new(),
            draining: false,
            remaining: None,
            cold_remaining: Duration::ZERO,
        });
        while !driver.is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        let identity = Identity {
            name: "agent".into(),
            incarnation: 1,
            centre: "z1".into(),
            service: "svc".into(),
        };
        let drains = Arc::<CurrentDrains>::default();
        let visits = VisitSettings::default();
        let sessions = EntrySessions::new(identity, token, driver, Arc::default(), drains, &visits);
        sessions.set_entries(&[address]);
        sleep(ANSWER_DELAY * 8).await;
        (backend.starts.get(), status.take())
    })
}

#[test]
fn a_task_that_arrives_before_the_answer_with_a_drain_is_not_started() {
    let centre = DrainedCentre { version: 4, since_ms: 7 };
    let drains = Drains { as_of: 5, centres: [("z1".into(), centre)].into() };
    let (starts, status) = start_agent(drains);
    assert_eq!(starts, 0);
    let Some(BatchStatus::Progress(progress)) = status else { panic!("no answer: {status:?}") };
    let result = &progress.results[0];
    assert_eq!((result.ending, &*result.reason), (Ending::NotRun, "data centre is drained"));
}

#[test]
fn a_task_that_arrives_before_the_answer_without_a_drain_is_started() {
    let (starts, _) = start_agent(Drains::default());
    assert_eq!(starts, 1);
}
