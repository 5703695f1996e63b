use std::{net::SocketAddr, time::Duration};

use base::Name;

use crate::{
    Error, Result,
    egret_capnp::{agent_info, load, room},
    text::read_name,
};

/// Load of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub queued: u32,
    pub running: u32,
    pub slots: u32,
    /// remaining run time of queued and running tasks, divided by the slots
    pub backlog: Duration,
    /// mean observed run time
    pub mean_run: Duration,
    pub ready: bool,
    pub short: ClassLoad,
    pub long: ClassLoad,
    /// moving average of the share of failed runs, 0 to 1
    pub failure_rate: f64,
}

/// Capacity for one class of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// slots that the class could take now
    pub free_slots: u32,
    /// expected wait of a further task
    pub wait: Duration,
    /// mean observed run time
    pub mean_run: Duration,
}

/// Heartbeat of an agent to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentInfo {
    pub name: Name,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub centre: Name,
    pub rack: Name,
    pub service: Name,
    pub load: Load,
    /// version of the fleet configuration in force
    pub config_version: u64,
    /// epoch of the roster in force
    pub roster_epoch: u64,
}

pub fn write_load(mut to: load::Builder<'_>, load: &Load) {
    to.set_queued(load.queued);
    to.set_running(load.running);
    to.set_slots(load.slots);
    to.set_backlog_us(load.backlog.as_micros() as u64);
    to.set_mean_us(load.mean_run.as_micros() as u64);
    to.set_ready(load.ready);
    to.set_failing(load.failure_rate);
    write_class_load(to.reborrow().init_short(), &load.short);
    write_class_load(to.init_long(), &load.long);
}

pub fn read_load(from: load::Reader<'_>) -> Load {
    let class_load =
        |room: capnp::Result<room::Reader<'_>>| room.map(read_class_load).unwrap_or_default();
    Load {
        queued: from.get_queued(),
        running: from.get_running(),
        slots: from.get_slots(),
        backlog: Duration::from_micros(from.get_backlog_us()),
        mean_run: Duration::from_micros(from.get_mean_us()),
        ready: from.get_ready(),
        short: class_load(from.get_short()),
        long: class_load(from.get_long()),
        failure_rate: from.get_failing(),
    }
}

fn write_class_load(mut to: room::Builder<'_>, load: &ClassLoad) {
    to.set_free(load.free_slots);
    to.set_wait_us(load.wait.as_micros() as u64);
    to.set_mean_us(load.mean_run.as_micros() as u64);
}

fn read_class_load(from: room::Reader<'_>) -> ClassLoad {
    ClassLoad {
        free_slots: from.get_free(),
        wait: Duration::from_micros(from.get_wait_us()),
        mean_run: Duration::from_micros(from.get_mean_us()),
    }
}

pub fn write_info(mut to: agent_info::Builder<'_>, info: &AgentInfo) {
    to.set_name(&*info.name);
    to.set_incarnation(info.incarnation);
    to.set_address(info.address.to_string().as_str());
    to.set_centre(&*info.centre);
    to.set_rack(&*info.rack);
    to.set_service(&*info.service);
    to.set_version(info.config_version);
    to.set_epoch(info.roster_epoch);
    write_load(to.init_load(), &info.load);
}

pub fn read_info(from: agent_info::Reader<'_>) -> Result<AgentInfo> {
    Ok(AgentInfo {
        name: read_name(from.get_name())?,
        incarnation: from.get_incarnation(),
        address: read_address(&read_name(from.get_address())?)?,
        centre: read_name(from.get_centre())?,
        rack: read_name(from.get_rack())?,
        service: read_name(from.get_service())?,
        load: read_load(from.get_load()?),
        config_version: from.get_version(),
        roster_epoch: from.get_epoch(),
    })
}

pub(crate) fn read_address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::Malformed(format!("not an address: {text}")))
}
