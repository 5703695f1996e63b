//! Demand for racks, from the arrival of jobs to the agents they are placed on.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::System;
use base::{Name, uptime};
use capnp::Error;
use conf::Queue;
use dispatch::{Agents, DispatcherSettings, Job, JobDispatcher, Metrics};
use lease::{AgentLoad, Class, LeaseBounds, LeaseTimings, Resources, SessionId};
use placement::{ObjectiveSettings, PlacerSettings};
use tokio::time::{sleep, timeout};
use wire::{
    Hello,
    egret_capnp::worker::{PlaceParams, PlaceResults, Server},
    read_batch,
};

const AGENTS: usize = 8;
const ESTIMATE: Duration = Duration::from_millis(100);
const FAR_FACTOR: f64 = 3.0;

/// Agent and estimate of each batch that was sent.
type Sent = Rc<RefCell<Vec<(usize, Duration)>>>;

/// Stand-in of an agent that answers no call.
struct Worker(usize, Sent);

impl Server for Worker {
    async fn place(self: Rc<Self>, params: PlaceParams, _: PlaceResults) -> Result<(), Error> {
        let batch =
            read_batch(params.get()?.get_batch()?).map_err(|e| Error::failed(e.to_string()))?;
        self.1.borrow_mut().push((self.0, batch.estimate));
        std::future::pending().await
    }
}

/// An entry with eight agents on a rack each, of which the first is the fastest.
struct Entry {
    agents: Rc<Agents>,
    dispatcher: Rc<JobDispatcher>,
    metrics: Arc<Metrics>,
    sent: Sent,
}

impl Entry {
    fn start() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let agents = Agents::new(address, 64, Duration::from_secs(60), Arc::default());
        let settings = DispatcherSettings {
            timings: LeaseTimings::new(&LeaseBounds::default()).expect("defaults are valid"),
            session: SessionId(1),
            objective: ObjectiveSettings::default(),
            placer: PlacerSettings::default(),
            far_factor: FAR_FACTOR,
        };
        let (metrics, sent) = (Arc::<Metrics>::default(), Sent::default());
        let dispatcher = JobDispatcher::new(settings, agents.clone(), metrics.clone());
        for i in 0..AGENTS {
            let worker = capnp_rpc::new_client(Worker(i, sent.clone()));
            agents.on_heartbeat(&hello(i, true), Some(worker));
        }
        Self { agents, dispatcher, metrics, sent }
    }

    /// Submits a job whose caller leaves at once; returns what was sent for it.
    async fn submit(&self, id: &str, rack: &str) -> Vec<(usize, Duration)> {
        let _ = timeout(Duration::from_millis(20), self.dispatcher.submit(job(id, rack))).await;
        self.sent.take()
    }

    fn series(&self) -> Vec<String> {
        let page = self.metrics.page();
        page.lines().filter(|l| l.starts_with("egret_rack_pressure{")).map(str::to_owned).collect()
    }

    fn pressure(&self, rack: &str) -> Option<f64> {
        self.dispatcher.rack_report().iter().find(|r| &*r.name == rack).map(|r| r.pressure)
    }
}

fn hello(i: usize, ready: bool) -> Hello {
    let capacity = Resources { cpu: 64_000, memory: 100_000, gpu: 0 };
    let slowness = if i == 0 { 0.7 } else { 1.0 };
    Hello {
        name: format!("agent-{i}").as_str().into(),
        incarnation: 1,
        centre: "z1".into(),
        service: "svc".into(),
        labels: vec!["kind".into(), format!("r{i}").as_str().into()],
        load: AgentLoad { ready, capacity, free: capacity, slowness, ..AgentLoad::default() },
        config_version: 1,
        highest_offered: 1,
        config: None,
        sent_at: uptime(),
        pinned: false,
        entries_digest: 1,
        drains: drain::Drains::default(),
        crash: None,
    }
}

fn job(id: &str, rack: &str) -> Job {
    let queue_settings = Queue {
        service: "svc".into(),
        host: "".into(),
        prefix: "".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_ms: 60,
    };
    Job {
        id: id.into(),
        queue: "q".into(),
        queue_settings,
        spec: "".into(),
        count: 1,
        resources: Resources { cpu: 1000, memory: 1, gpu: 0 },
        estimate: ESTIMATE,
        time_left: Duration::from_secs(5),
        label: Name::from(""),
        rack: rack.into(),
        max_per_agent: 0,
        class: Class::default(),
        classes: 1,
    }
}

macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {
        $(#[test] fn $name() { System::new().block_on(async { $case(Entry::start()).await }) })*
    };
}

cases! {
    // guards against data that is far because other work is near it
    work_that_needs_no_rack_leaves_a_rack_in_demand: async |entry: Entry| {
        assert_eq!(entry.submit("free", "").await, [(0, ESTIMATE)], "the fastest");
        assert_eq!(entry.submit("first", "r0").await, [(0, ESTIMATE)]);
        sleep(Duration::from_millis(500)).await;
        // the stand-in answered no call in that time
        for i in 0..AGENTS {
            entry.agents.on_heartbeat(&hello(i, true), None);
        }
        entry.dispatcher.refresh_racks();
        assert!(entry.pressure("r0") > Some(1.0));
        let sent = entry.submit("free-2", "").await;
        assert!(matches!(sent[..], [(1.., ESTIMATE)]), "{sent:?}");
        assert_eq!(entry.submit("near", "r0").await, [(0, ESTIMATE)], "stays near its data");
    };
    // guards against demand that grows while a caller repeats a job in progress
    a_job_is_recorded_once: async |entry: Entry| {
        let other = entry.submit("other", "r1");
        let twice = async { tokio::join!(entry.submit("same", "r0"), entry.submit("same", "r0")) };
        tokio::join!(other, twice);
        entry.dispatcher.refresh_racks();
        let (r0, r1) = (entry.pressure("r0").unwrap_or(0.0), entry.pressure("r1").unwrap_or(0.0));
        assert!(r0 > 0.0 && (r0 / r1 - 1.0).abs() < 0.05, "{r0} {r1}");
    };
    // guards against a metrics page that grows with the fleet
    five_racks_are_shown: async |entry: Entry| {
        for i in 0..AGENTS {
            entry.submit(&format!("{i}"), &format!("r{i}")).await;
        }
        entry.submit("invented", "r99\"\n").await;
        entry.dispatcher.refresh_racks();
        assert_eq!((entry.series().len(), entry.dispatcher.rack_report().len()), (5, 5));
        for i in 0..10 {
            entry.submit(&format!("more-{i}"), "r6").await;
        }
        entry.dispatcher.refresh_racks();
        assert_eq!(entry.series().len(), 5);
        assert!(entry.series().iter().any(|s| s.contains("\"r6\"")), "{:?}", entry.series());
    };
    // guards against a pressure by agents that accept no work
    pressure_follows_the_agents_that_accept_work: async |entry: Entry| {
        entry.submit("a", "r0").await;
        entry.agents.on_heartbeat(&hello(0, false), None);
        entry.dispatcher.refresh_racks();
        assert_eq!((entry.pressure("r0"), entry.series().len()), (None, 0));
        let sent = entry.submit("b", "r0").await;
        assert!(matches!(sent[..], [(1.., estimate)] if estimate == ESTIMATE.mul_f64(FAR_FACTOR)), "it runs far from its data: {sent:?}");
    };
    without_rack_names_nothing_is_shown: async |entry: Entry| {
        entry.submit("a", "").await;
        entry.dispatcher.refresh_racks();
        assert_eq!((entry.series().len(), entry.dispatcher.rack_report().len()), (0, 0));
    };
}
