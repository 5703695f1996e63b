use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Name, Uptime};
use capnp::primitive_list;
use drain::{DrainedCentre, Drains};
use lease::{
    AgentLoad, Batch, BatchStatus, BatchTask, CLASSES, Class, Crash, CrashReport, Ending, Progress,
    Resources, TaskResult,
};

use crate::{
    Error, Result,
    egret_capnp::{
        Ending as WireEnding, batch, drained_centre, drains, hello, progress, settled, size, space,
        welcome,
    },
    info::read_address,
    text::read_name,
};

/// Heartbeat of an agent of a backend server with leases to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    pub name: Name,
    pub incarnation: u64,
    pub centre: Name,
    pub service: Name,
    /// kind and rack of the backend server
    pub labels: Vec<Name>,
    pub load: AgentLoad,
    /// version of the fleet configuration in force
    pub config_version: u64,
    /// highest version that the agent was sent
    pub highest_offered: u64,
    /// the configuration, for an entry with an older version
    pub config: Option<Name>,
    /// send time on the agent's clock
    pub sent_at: Uptime,
    /// whether the agent always stays connected to this entry
    pub pinned: bool,
    /// digest of the list of entries that the agent was sent; 0 for none
    pub entries_digest: u64,
    /// drained data centres known to the agent
    pub drains: Drains,
    /// a recent crash of the backend server
    pub crash: Option<CrashReport>,
}

/// An entry's reply to an agent, also exchanged between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Welcome {
    pub name: Name,
    /// incarnation of the entry
    pub incarnation: u64,
    /// empty if the receiver has this list
    pub entries: Vec<SocketAddr>,
    pub config_version: u64,
    pub config: Option<Name>,
    /// whether the entry has enough other agents
    pub surplus: bool,
    /// digest of the list of entries, for agents; 0 between entries
    pub entries_digest: u64,
    /// data centre of the entry; empty from older builds
    pub centre: Name,
    /// drained data centres known to the entry
    pub drains: Drains,
}

pub fn write_hello(mut to: hello::Builder<'_>, it: &Hello) {
    to.set_name(&*it.name);
    to.set_incarnation(it.incarnation);
    to.set_centre(&*it.centre);
    to.set_service(&*it.service);
    let mut labels = to.reborrow().init_labels(it.labels.len() as u32);
    for (i, label) in (0..).zip(&it.labels) {
        labels.set(i, &**label);
    }
    write_agent_load(to.reborrow().init_space(), &it.load);
    to.set_version(it.config_version);
    to.set_seen(it.highest_offered);
    if let Some(document) = &it.config {
        to.set_document(&**document);
    }
    to.set_sent_us(micros(it.sent_at));
    to.set_firm(it.pinned);
    to.set_digest(it.entries_digest);
    write_drains(to.reborrow().init_drains(), &it.drains);
    let Some(crash) = &it.crash else { return };
    to.set_crash(crash.number);
    let mut chances = to.init_chances(crash.chances.len() as u32);
    for (i, (queue, probability)) in (0..).zip(&crash.chances) {
        let mut chance = chances.reborrow().get(i);
        chance.set_queue(&**queue);
        chance.set_probability(*probability as f32);
    }
}

pub fn read_hello(from: hello::Reader<'_>) -> Result<Hello> {
    let labels = from.get_labels()?.iter().map(read_name).collect::<Result<_>>()?;
    Ok(Hello {
        name: read_name(from.get_name())?,
        incarnation: from.get_incarnation(),
        centre: read_name(from.get_centre())?,
        service: read_name(from.get_service())?,
        labels,
        load: read_agent_load(from.get_space()?)?,
        config_version: from.get_version(),
        highest_offered: from.get_seen(),
        config: from.has_document().then(|| read_name(from.get_document())).transpose()?,
        sent_at: Duration::from_micros(from.get_sent_us()),
        pinned: from.get_firm(),
        entries_digest: from.get_digest(),
        drains: read_drains(from.get_drains()?)?,
        crash: read_crash(from)?,
    })
}

fn read_crash(from: hello::Reader<'_>) -> Result<Option<CrashReport>> {
    let number = from.get_crash();
    if number == 0 {
        return Ok(None);
    }
    let chances = from.get_chances()?.iter().map(|it| {
        let probability = f64::from(it.get_probability());
        match (0.0..=1.0).contains(&probability) {
            true => Ok((read_name(it.get_queue())?, probability)),
            false => Err(Error::Malformed(format!("{probability} is not a probability"))),
        }
    });
    Ok(Some(CrashReport { number, chances: chances.collect::<Result<_>>()? }))
}

pub fn write_welcome(mut to: welcome::Builder<'_>, it: &Welcome) {
    to.set_name(&*it.name);
    to.set_incarnation(it.incarnation);
    let mut entries = to.reborrow().init_entries(it.entries.len() as u32);
    for (i, entry) in (0..).zip(&it.entries) {
        entries.set(i, entry.to_string().as_str());
    }
    to.set_version(it.config_version);
    if let Some(document) = &it.config {
        to.set_document(&**document);
    }
    to.set_spare(it.surplus);
    to.set_digest(it.entries_digest);
    to.set_centre(&*it.centre);
    write_drains(to.init_drains(), &it.drains);
}

pub fn read_welcome(from: welcome::Reader<'_>) -> Result<Welcome> {
    // one odd address must not hide the others
    let entries = from.get_entries()?.iter().filter_map(|e| read_address(&read_name(e).ok()?).ok());
    Ok(Welcome {
        name: read_name(from.get_name())?,
        incarnation: from.get_incarnation(),
        entries: entries.collect(),
        config_version: from.get_version(),
        config: from.has_document().then(|| read_name(from.get_document())).transpose()?,
        surplus: from.get_spare(),
        entries_digest: from.get_digest(),
        centre: read_name(from.get_centre())?,
        drains: read_drains(from.get_drains()?)?,
    })
}

pub fn write_batch(mut to: batch::Builder<'_>, it: &Batch) {
    to.set_number(it.number);
    to.set_job(&*it.job);
    to.set_spec(&*it.spec);
    write_resources(to.reborrow().init_size(), it.resources);
    to.set_estimate_ms(millis(it.estimate));
    to.set_wait_ms(millis(it.max_wait));
    to.set_left_ms(millis(it.time_left));
    to.set_class(it.class.index() as u8);
    to.set_queue(&*it.queue);
    let mut tasks = to.init_tasks(it.tasks.len() as u32);
    for (i, task) in (0..).zip(&it.tasks) {
        let mut to = tasks.reborrow().get(i);
        to.set_index(task.index);
        to.set_run(task.run);
    }
}

pub fn read_batch(from: batch::Reader<'_>) -> Result<Batch> {
    let spec = from.get_spec()?.to_str().map_err(|e| Error::Malformed(e.to_string()))?;
    let tasks = from.get_tasks()?.iter();
    Ok(Batch {
        number: from.get_number(),
        job: read_name(from.get_job())?,
        queue: read_name(from.get_queue())?,
        spec: Arc::from(spec),
        resources: read_resources(from.get_size()?),
        estimate: Duration::from_millis(from.get_estimate_ms().into()),
        class: Class::from_rank(from.get_class().into()),
        max_wait: Duration::from_millis(from.get_wait_ms().into()),
        time_left: Duration::from_millis(from.get_left_ms().into()),
        tasks: tasks.map(|t| BatchTask { index: t.get_index(), run: t.get_run() }).collect(),
    })
}

pub fn write_batch_status(mut to: progress::Builder<'_>, it: &BatchStatus) {
    let it = match it {
        BatchStatus::Progress(progress) => progress,
        BatchStatus::NeverReceived => return to.set_never(true),
        BatchStatus::Forgotten => return,
    };
    to.set_known(true);
    to.set_open(it.pending);
    to.set_started(it.started);
    write_agent_load(to.reborrow().init_space(), &it.load);
    let mut list = to.init_settled(it.results.len() as u32);
    for (i, result) in (0..).zip(&it.results) {
        write_result(list.reborrow().get(i), result);
    }
}

pub fn read_batch_status(from: progress::Reader<'_>) -> Result<BatchStatus> {
    if from.get_never() {
        return Ok(BatchStatus::NeverReceived);
    }
    if !from.get_known() {
        return Ok(BatchStatus::Forgotten);
    }
    Ok(BatchStatus::Progress(Progress {
        results: from.get_settled()?.iter().map(read_result).collect::<Result<_>>()?,
        pending: from.get_open(),
        load: read_agent_load(from.get_space()?)?,
        started: from.get_started(),
    }))
}

fn write_result(mut to: settled::Builder<'_>, it: &TaskResult) {
    to.set_index(it.index);
    to.set_run(it.run);
    to.set_ending(match it.ending {
        Ending::Done => WireEnding::Done,
        Ending::Failed => WireEnding::Failed,
        Ending::Lost => WireEnding::Lost,
        Ending::NotRun => WireEnding::NotRun,
    });
    to.set_reason(&*it.reason);
    to.set_ran_us(micros(it.run_time));
    if let Some(crash) = it.crash {
        to.set_crashed(true);
        to.set_suspicion(crash.suspicion as f32);
        to.set_proven(crash.proven);
    }
}

fn read_result(from: settled::Reader<'_>) -> Result<TaskResult> {
    let ending = match from.get_ending().map_err(|e| Error::Malformed(e.to_string()))? {
        WireEnding::Done => Ending::Done,
        WireEnding::Failed => Ending::Failed,
        WireEnding::Lost => Ending::Lost,
        WireEnding::NotRun => Ending::NotRun,
    };
    Ok(TaskResult {
        index: from.get_index(),
        run: from.get_run(),
        ending,
        reason: read_name(from.get_reason())?,
        run_time: Duration::from_micros(from.get_ran_us()),
        crash: from
            .get_crashed()
            .then(|| Crash { suspicion: from.get_suspicion().into(), proven: from.get_proven() }),
    })
}

fn write_agent_load(mut to: space::Builder<'_>, it: &AgentLoad) {
    to.set_ready(it.ready);
    write_resources(to.reborrow().init_capacity(), it.capacity);
    write_resources(to.reborrow().init_free(), it.free);
    to.set_wait_us(micros(it.expected_wait));
    to.set_slowness(it.slowness as f32);
    to.set_suspect(it.suspect);
    let Some(waits) = it.class_waits else { return };
    let mut list = to.init_class_waits_us(waits.len() as u32);
    for (i, wait) in (0..).zip(waits) {
        list.set(i, micros(wait));
    }
}

fn read_agent_load(from: space::Reader<'_>) -> Result<AgentLoad> {
    Ok(AgentLoad {
        ready: from.get_ready(),
        capacity: read_resources(from.get_capacity()?),
        free: read_resources(from.get_free()?),
        expected_wait: Duration::from_micros(from.get_wait_us()),
        slowness: from.get_slowness().into(),
        suspect: from.get_suspect(),
        class_waits: read_class_waits(from.get_class_waits_us()?),
    })
}

/// `None` for an empty list, as agents of older builds send it. Classes missing
/// in a shorter one have the wait of the last class in it.
fn read_class_waits(from: primitive_list::Reader<'_, u64>) -> Option<[Duration; CLASSES]> {
    let last = from.len().checked_sub(1)?;
    let wait = |class: u32| Duration::from_micros(from.get(class.min(last)));
    Some(std::array::from_fn(|class| wait(class as u32)))
}

fn write_drains(mut to: drains::Builder<'_>, it: &Drains) {
    to.set_as_of(it.as_of);
    let mut list = to.init_centres(it.centres.len() as u32);
    for (i, (name, centre)) in (0..).zip(&it.centres) {
        let mut to = list.reborrow().get(i);
        to.set_name(&**name);
        to.set_version(centre.version);
        to.set_since_ms(centre.since_ms);
    }
}

fn read_drains(from: drains::Reader<'_>) -> Result<Drains> {
    let read = |c: drained_centre::Reader<'_>| {
        let centre = DrainedCentre { version: c.get_version(), since_ms: c.get_since_ms() };
        Ok((read_name(c.get_name())?, centre))
    };
    let centres = from.get_centres()?.iter().map(read).collect::<Result<_>>()?;
    Ok(Drains { as_of: from.get_as_of(), centres })
}

fn write_resources(mut to: size::Builder<'_>, it: Resources) {
    to.set_cpu(it.cpu);
    to.set_memory(it.memory);
    to.set_gpu(it.gpu);
}

fn read_resources(from: size::Reader<'_>) -> Resources {
    Resources { cpu: from.get_cpu(), memory: from.get_memory(), gpu: from.get_gpu() }
}

fn millis(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

fn micros(time: Duration) -> u64 {
    time.as_micros().try_into().unwrap_or(u64::MAX)
}
