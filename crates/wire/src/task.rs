use std::time::{Duration, Instant};

use base::{Digest, Task, TaskId};
use bytes::Bytes;

use crate::{
    Result,
    egret_capnp::{task, task_id},
    text::read_name,
};

pub fn write_id(mut to: task_id::Builder<'_>, id: &TaskId) {
    to.set_team(&*id.team);
    to.set_key(&*id.key);
    to.set_index(id.index);
}

pub fn read_id(from: task_id::Reader<'_>) -> Result<TaskId> {
    Ok(TaskId::new(read_name(from.get_team())?, read_name(from.get_key())?, from.get_index()))
}

pub fn write_task(mut to: task::Builder<'_>, task: &Task, now: Instant) {
    write_id(to.reborrow().init_id(), &task.id);
    to.set_service(&*task.service);
    to.set_operation(&*task.operation);
    to.set_issued_ms(task.issued_ms.unwrap_or(0));
    to.set_left_ms(task.time_left(now).as_millis().try_into().unwrap_or(u32::MAX));
    to.set_keyed(task.keyed);
    to.set_repeatable(task.repeatable);
    to.set_size_ms(task.declared_time.map_or(0, |d| d.as_millis().try_into().unwrap_or(u32::MAX)));
    to.set_digest_high(task.digest.high());
    to.set_digest_low(task.digest.low());
    to.set_started_ms(task.received_ms);
    to.set_count(task.task_count);
    to.set_body(&task.body);
}

pub fn read_task(from: task::Reader<'_>, now: Instant) -> Result<Task> {
    let size = u64::from(from.get_size_ms());
    let issued = from.get_issued_ms();
    Ok(Task {
        id: read_id(from.get_id()?)?,
        service: read_name(from.get_service())?,
        operation: read_name(from.get_operation())?,
        issued_ms: (issued > 0).then_some(issued),
        deadline: now + Duration::from_millis(from.get_left_ms().into()),
        keyed: from.get_keyed(),
        repeatable: from.get_repeatable(),
        declared_time: (size > 0).then(|| Duration::from_millis(size)),
        digest: Digest::from_parts(from.get_digest_high(), from.get_digest_low()),
        received_ms: from.get_started_ms(),
        task_count: from.get_count(),
        body: Bytes::copy_from_slice(from.get_body()?),
    })
}
