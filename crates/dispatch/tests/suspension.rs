//! An entry that is suspended between its decision and the message to an agent.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use base::uptime;
use capnp::Error;
use conf::Queue;
use dispatch::{Agents, DispatcherSettings, Job, JobDispatcher, Metrics};
use drain::Drains;
use lease::{AgentLoad, Class, LeaseBounds, LeaseTimings, Resources, SessionId};
use placement::{ObjectiveSettings, PlacerSettings};
use tokio::time::timeout;
use wire::{
    Hello,
    egret_capnp::worker::{self, PlaceParams, PlaceResults},
    read_batch,
};

const CALLER_WAIT: Duration = Duration::from_secs(2);
/// Shorter than a session: the agents still count as connected afterwards.
const SUSPENSION: Duration = Duration::from_millis(400);

/// Time left to the caller in each batch, and when the batch came.
type Received = Rc<RefCell<Vec<(Instant, Duration)>>>;

/// Agent of which the first one to get a batch suspends the whole process.
struct SuspendingAgent {
    received: Received,
}

impl worker::Server for SuspendingAgent {
    async fn place(self: Rc<Self>, params: PlaceParams, _: PlaceResults) -> Result<(), Error> {
        let batch =
            read_batch(params.get()?.get_batch()?).map_err(|e| Error::failed(e.to_string()))?;
        self.received.borrow_mut().push((Instant::now(), batch.time_left));
        if self.received.borrow().len() == 1 {
            thread::sleep(SUSPENSION);
        }
        std::future::pending().await
    }
}

fn hello(name: &str) -> Hello {
    let capacity = Resources { cpu: 16_000, memory: 1000, gpu: 0 };
    let load =
        AgentLoad { ready: true, capacity, free: capacity, slowness: 1.0, ..AgentLoad::default() };
    Hello {
        name: name.into(),
        incarnation: 1,
        centre: "z1".into(),
        service: "svc".into(),
        labels: Vec::new(),
        load,
        config_version: 1,
        highest_offered: 1,
        config: None,
        sent_at: uptime(),
        pinned: false,
        entries_digest: 0,
        drains: Drains::default(),
        crash: None,
    }
}

fn job() -> Job {
    Job {
        id: "job".into(),
        queue: "q".into(),
        queue_settings: Queue {
            service: "svc".into(),
            host: "h".into(),
            prefix: "/".into(),
            priority: 0,
            attempts: 1,
            stretch: 1.6,
            target_ms: 1000,
        },
        class: Class::default(),
        classes: 1,
        spec: "spec".into(),
        count: 2,
        resources: Resources { cpu: 1000, memory: 1, gpu: 0 },
        estimate: Duration::from_millis(50),
        time_left: CALLER_WAIT,
        label: "".into(),
        rack: "".into(),
        max_per_agent: 1,
    }
}

/// Guards against tasks that are queued by times of before a suspension, and so may
/// start after their caller has gone.
#[test]
fn a_batch_of_before_a_suspension_is_not_sent() {
    actix::System::new().block_on(async {
        let timings = LeaseTimings::new(&LeaseBounds::default()).expect("there is time for leases");
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let agents = Agents::new(address, 64, timings.report_timeout(), Arc::default());
        let received = Received::default();
        for name in ["a", "b"] {
            let agent = SuspendingAgent { received: received.clone() };
            agents.on_heartbeat(&hello(name), Some(capnp_rpc::new_client(agent)));
        }
        let settings = DispatcherSettings {
            timings,
            session: SessionId(1),
            objective: ObjectiveSettings::default(),
            placer: PlacerSettings::default(),
            far_factor: 1.5,
        };
        let dispatcher = JobDispatcher::new(settings, agents, Arc::<Metrics>::default());
        let submitted_at = Instant::now();
        // the job gets no answer from these agents
        let _ = timeout(SUSPENSION + Duration::from_millis(200), dispatcher.submit(job())).await;
        assert!(!received.borrow().is_empty(), "a batch was sent before the suspension");
        for (at, time_left) in received.borrow().iter() {
            let end = at.duration_since(submitted_at) + *time_left;
            assert!(end <= CALLER_WAIT, "work until {end:?}");
        }
    });
}
