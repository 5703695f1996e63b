//! Messages of the build that landed before (7a41783), recorded there: this build reads them,
//! and writes the same bytes, so that build reads those of this one. While machines are
//! replaced both run side by side.

use std::time::Duration;

use capnp::{message, serialize};
use drain::{DrainedCentre, Drains};
use lease::{
    AgentLoad, Batch, BatchStatus, BatchTask, CLASSES, Class, Crash, CrashReport, Ending, Progress,
    Resources, TaskResult,
};
use wire::{
    Hello, Welcome, read_batch, read_batch_status, read_hello, read_welcome, write_batch,
    write_batch_status, write_hello, write_welcome,
};

macro_rules! recorded {
    ($($name:ident: $file:literal, $value:expr, $write:ident, $read:ident;)*) => {
        $(#[test]
        fn $name() {
            let recorded = include_bytes!(concat!("recorded/", $file));
            let mut message = message::Builder::new_default();
            $write(message.init_root(), &$value);
            assert_eq!(serialize::write_message_to_words(&message), recorded, "as it was written");
            let message = serialize::read_message(&mut &recorded[..], Default::default());
            let message = message.expect("it is whole");
            let read = $read(message.get_root().expect("it has a root")).expect("it is read");
            // some of the types can't be compared otherwise
            assert_eq!(format!("{read:?}"), format!("{:?}", $value));
        })*
    };
}

recorded! {
    a_heartbeat_of_an_agent: "hello.bin", hello(), write_hello, read_hello;
    an_answer_of_an_entry: "welcome.bin", welcome(), write_welcome, read_welcome;
    a_batch: "batch.bin", batch(), write_batch, read_batch;
    the_progress_of_a_batch: "progress.bin", progress(), write_batch_status, read_batch_status;
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn hello() -> Hello {
    Hello {
        name: "agent-1".into(),
        incarnation: 3,
        centre: "z1".into(),
        service: "svc".into(),
        labels: vec!["a".into(), "r1-1".into()],
        load: load(),
        config_version: 9,
        highest_offered: 10,
        config: Some("{}".into()),
        sent_at: ms(77),
        pinned: true,
        entries_digest: 5,
        drains: drains(),
        crash: Some(CrashReport { number: 2, chances: vec![("q".into(), 0.25)] }),
    }
}

fn welcome() -> Welcome {
    Welcome {
        name: "entry-1".into(),
        incarnation: 4,
        entries: vec!["127.0.0.1:7200".parse().expect("an address")],
        config_version: 9,
        config: Some("{}".into()),
        surplus: true,
        entries_digest: 6,
        centre: "z2".into(),
        drains: drains(),
    }
}

fn batch() -> Batch {
    Batch {
        number: 11,
        job: "00000000000000aa".into(),
        queue: "q".into(),
        spec: "text".into(),
        resources: Resources { cpu: 6200, memory: 64, gpu: 0 },
        estimate: ms(51),
        class: Class::from_rank(1),
        max_wait: ms(20),
        time_left: ms(1500),
        tasks: vec![BatchTask { index: 3, run: 2 }],
    }
}

fn progress() -> BatchStatus {
    let result = TaskResult {
        index: 3,
        run: 2,
        ending: Ending::Lost,
        reason: "r".into(),
        run_time: ms(9),
        crash: Some(Crash { suspicion: 0.5, proven: true }),
    };
    BatchStatus::Progress(Progress {
        results: vec![result],
        pending: 1,
        load: load(),
        started: true,
    })
}

fn drains() -> Drains {
    let centre = DrainedCentre { version: 6, since_ms: 5 };
    Drains { as_of: 7, centres: [("z1".into(), centre)].into() }
}

fn load() -> AgentLoad {
    AgentLoad {
        ready: true,
        capacity: Resources { cpu: 16_000, memory: 32_768, gpu: 1 },
        free: Resources { cpu: 4000, memory: 100, gpu: 0 },
        expected_wait: ms(12),
        slowness: 1.5,
        suspect: false,
        class_waits: Some(std::array::from_fn::<_, CLASSES, _>(|class| ms(class as u64 + 1))),
    }
}
