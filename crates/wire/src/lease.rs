use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Name, Uptime};
use lease::{AgentLoad, Batch, BatchStatus, BatchTask, Ending, Progress, Resources, TaskResult};

use crate::{
    Error, Result,
    egret_capnp::{Ending as WireEnding, batch, hello, progress, settled, size, space, welcome},
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
    })
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
}

pub fn read_welcome(from: welcome::Reader<'_>) -> Result<Welcome> {
    let entries = from.get_entries()?.iter().map(|e| read_address(&read_name(e)?));
    Ok(Welcome {
        name: read_name(from.get_name())?,
        incarnation: from.get_incarnation(),
        entries: entries.collect::<Result<_>>()?,
        config_version: from.get_version(),
        config: from.has_document().then(|| read_name(from.get_document())).transpose()?,
        surplus: from.get_spare(),
        entries_digest: from.get_digest(),
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
        spec: Arc::from(spec),
        resources: read_resources(from.get_size()?),
        estimate: Duration::from_millis(from.get_estimate_ms().into()),
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
    })
}

fn write_agent_load(mut to: space::Builder<'_>, it: &AgentLoad) {
    to.set_ready(it.ready);
    write_resources(to.reborrow().init_capacity(), it.capacity);
    write_resources(to.reborrow().init_free(), it.free);
    to.set_wait_us(micros(it.expected_wait));
    to.set_slowness(it.slowness as f32);
    to.set_suspect(it.suspect);
}

fn read_agent_load(from: space::Reader<'_>) -> Result<AgentLoad> {
    Ok(AgentLoad {
        ready: from.get_ready(),
        capacity: read_resources(from.get_capacity()?),
        free: read_resources(from.get_free()?),
        expected_wait: Duration::from_micros(from.get_wait_us()),
        slowness: from.get_slowness().into(),
        suspect: from.get_suspect(),
    })
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
