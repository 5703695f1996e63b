use std::{pin::pin, time::Duration};

use base::{Digest, Name, TaskId, now_ms};
use claim::{Claim, Grant, Holder, KeyInfo};
use futures::{StreamExt, stream};
use tokio::time::{sleep, timeout};
use wire::{
    Method, Reply,
    egret_capnp::{Stage, agent},
    read_reply, write_id,
};

use super::{
    dispatcher::Dispatcher,
    home::HomeQuery,
    key_status::{KeyState, KeyStatus},
};

/// Most tasks of one key.
pub const MAX_TASKS: u32 = 750;

/// Tasks of one key that are queried at once.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Attempts until the home knows that the holder has given the task up.
const MAX_ATTEMPTS: u32 = 5;
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);

/// A key of a team at a service.
#[derive(Clone, Debug)]
pub struct Key {
    pub service: Name,
    pub team: Name,
    pub key: Name,
    /// when the caller issued it, unix milliseconds
    pub issued_ms: Option<u64>,
}

impl Dispatcher {
    /// Queries the progress of the tasks of a key.
    pub async fn status(&self, key: &Key) -> KeyStatus {
        self.for_each_task(key, |index| self.task_status(key, index)).await
    }

    /// Cancels the tasks of a key that have not started.
    pub async fn cancel(&self, key: &Key) -> KeyStatus {
        self.for_each_task(key, |index| self.cancel_task(key, index)).await
    }

    /// Runs a query for every task of a key.
    async fn for_each_task<F>(&self, key: &Key, query: impl Fn(u32) -> F) -> KeyStatus
    where
        F: Future<Output = (KeyState, Option<u32>)>,
    {
        let (first, count) = query(0).await;
        let is_unknown = matches!(first, KeyState::Unknown(_));
        let mut tasks = vec![first];
        let count = match count {
            None if is_unknown => return KeyStatus { tasks },
            None => self.find_task_count(key).await,
            known => known,
        };
        let Some(count) = count else {
            tasks.push(KeyState::Unknown("the number of its tasks can't be determined".into()));
            return KeyStatus { tasks };
        };
        let rest = stream::iter(1..count).map(&query).buffered(MAX_CONCURRENT_QUERIES);
        tasks.extend(rest.map(|(state, _)| state).collect::<Vec<_>>().await);
        KeyStatus { tasks }
    }

    /// Number of tasks of a key whose first task is unknown to its home: any other
    /// task may have been claimed. `None` if a home can't tell.
    async fn find_task_count(&self, key: &Key) -> Option<u32> {
        let look_up = async |index| {
            let claim = key.any_claim(index);
            self.query_home(&key.service, &claim, HomeQuery::LookUp).await
        };
        let found = stream::iter(1..MAX_TASKS).map(look_up).buffered(MAX_CONCURRENT_QUERIES);
        let mut found = pin!(found);
        while let Some(info) = found.next().await {
            match info? {
                KeyInfo { task_count: Some(count), .. } => return Some(count),
                KeyInfo { grant: Grant::Free | Grant::Barred, .. } => {}
                _ => return None,
            }
        }
        Some(1)
    }

    async fn task_status(&self, key: &Key, index: u32) -> (KeyState, Option<u32>) {
        let claim = key.any_claim(index);
        let mut known = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(KeyInfo { grant, task_count }) =
                self.query_home(&key.service, &claim, HomeQuery::LookUp).await
            else {
                return (home_unreachable(), known);
            };
            known = known.or(task_count);
            let holder = match grant {
                Grant::Held(holder) => holder,
                Grant::Free => return (KeyState::Unseen, known),
                Grant::Barred => return (KeyState::NotRun, known),
                other => return (indeterminate(other), known),
            };
            if let Some(state) = self.query_state(&holder, &claim.id).await {
                return (state, known);
            }
            sleep(RETRY_INTERVAL).await;
        }
        (not_released(), known)
    }

    async fn cancel_task(&self, key: &Key, index: u32) -> (KeyState, Option<u32>) {
        let claim = key.claim(index);
        let mut known = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(KeyInfo { grant, task_count }) =
                self.query_home(&key.service, &claim, HomeQuery::Bar).await
            else {
                return (home_unreachable(), known);
            };
            known = known.or(task_count);
            let holder = match grant {
                Grant::Held(holder) => holder,
                Grant::Barred => return (KeyState::NotRun, known),
                other => return (indeterminate(other), known),
            };
            if !self.cancel_at(&holder, &claim.id).await
                && let Some(state) = self.query_state(&holder, &claim.id).await
            {
                return (state, known);
            }
            sleep(RETRY_INTERVAL).await;
        }
        (not_released(), known)
    }

    /// Asks the holder of a claim to give the task up if it has not started; true
    /// when it did.
    async fn cancel_at(&self, holder: &Holder, id: &TaskId) -> bool {
        let Some(agent) = self.agent(holder).await else { return false };
        let mut req = agent.cancel_request();
        Method::Cancel.record_call();
        write_id(req.get().init_ids(1).get(0), id);
        let Ok(Ok(res)) = timeout(AGENT_TIMEOUT, req.send().promise).await else { return false };
        let stopped = res.get().and_then(|r| r.get_stopped());
        stopped.is_ok_and(|stopped| stopped.len() == 1 && stopped.get(0))
    }

    /// Asks the holder of a claim for the progress of the task; `None` if it has no
    /// record of it or has given it up. Only the home tells what follows from that:
    /// the process asked may be a later one without the holder's memory.
    async fn query_state(&self, holder: &Holder, id: &TaskId) -> Option<KeyState> {
        let lost =
            || Some(KeyState::Unknown(format!("agent {} can't be asked", holder.name).into()));
        let Some(agent) = self.agent(holder).await else { return lost() };
        let mut req = agent.status_request();
        Method::Status.record_call();
        write_id(req.get().init_id(), id);
        let Ok(Ok(res)) = timeout(AGENT_TIMEOUT, req.send().promise).await else { return lost() };
        let Ok(res) = res.get() else { return lost() };
        match res.get_stage() {
            Ok(Stage::Queued) => Some(KeyState::Queued),
            Ok(Stage::Running) => Some(KeyState::Running),
            Ok(Stage::Over) => {
                match res.get_reply().map_err(wire::Error::from).and_then(read_reply) {
                    Ok(Reply::Answer(answer)) => Some(KeyState::Finished(answer)),
                    _ => lost(),
                }
            }
            Ok(Stage::Unseen) => None,
            Err(_) => lost(),
        }
    }

    /// The agent that holds a claim, unless it was restarted since.
    async fn agent(&self, holder: &Holder) -> Option<agent::Client> {
        let known = self.agents.get(&holder.name)?;
        if known.incarnation != holder.incarnation {
            return None;
        }
        self.links.get(known.address).await.ok()?.agent().ok()
    }
}

impl Key {
    /// Claim to look up a task with. A bar applies to calls received before it, so
    /// that 0 finds any bar.
    fn any_claim(&self, index: u32) -> Claim {
        Claim { received_ms: 0, ..self.claim(index) }
    }

    fn claim(&self, index: u32) -> Claim {
        Claim {
            id: TaskId::new(self.team.clone(), self.key.clone(), index),
            digest: Digest::UNKNOWN,
            issued_ms: self.issued_ms,
            received_ms: now_ms(),
            task_count: 0,
            sequence: 0,
        }
    }
}

fn home_unreachable() -> KeyState {
    KeyState::Unknown("the home of the key can't be asked".into())
}

fn not_released() -> KeyState {
    KeyState::Unknown("its agent doesn't know it, and its home has not heard why: ask again".into())
}

fn indeterminate(grant: Grant) -> KeyState {
    match grant {
        Grant::Unknown(reason) => KeyState::Unknown(reason),
        _ => home_unreachable(),
    }
}
