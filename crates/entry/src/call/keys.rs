use std::time::Duration;

use base::{Answer, Digest, Name, TaskId, now_ms};
use claim::{Claim, Grant, Holder, KeyInfo};
use futures::{StreamExt, stream};
use tokio::time::{sleep, timeout};
use wire::{
    Method, Reply,
    egret_capnp::{Stage, agent},
    read_reply, write_id,
};

use super::{dispatcher::Dispatcher, home::Query};

/// Tasks of one key that are asked about at once.
const FAN_OUT: usize = 64;
/// Tries until the home has heard that the holder gave the task up.
const CANCEL_TRIES: u32 = 5;
const CANCEL_PAUSE: Duration = Duration::from_millis(20);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// A key of a team at a service.
#[derive(Clone, Debug)]
pub struct Key {
    pub service: Name,
    pub team: Name,
    pub key: Name,
    /// when the caller issued it, unix milliseconds
    pub issued: Option<u64>,
}

/// How far one task of a key has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// nobody has started it, and nobody is about to
    Unseen,
    Queued,
    Running,
    Over(Answer),
    /// it did not run, and no call begun so far will start it
    NotRun,
    /// can't be told; why
    Unknown(Name),
}

/// How far the tasks of a key have come, in order.
pub struct Tally {
    pub tasks: Vec<KeyState>,
}

impl Dispatcher {
    /// How far the tasks of a key have come.
    pub async fn status(&self, key: &Key) -> Tally {
        self.each(|index| self.status_of(key, index)).await
    }

    /// Stops the tasks of a key that have not started.
    pub async fn cancel(&self, key: &Key) -> Tally {
        self.each(|index| self.cancel_of(key, index)).await
    }

    /// Does the same for every task of a key; the home of the first knows how
    /// many there are.
    async fn each<F>(&self, ask: impl Fn(u32) -> F) -> Tally
    where
        F: Future<Output = (KeyState, Option<u32>)>,
    {
        let (first, count) = ask(0).await;
        let rest = stream::iter(1..count.unwrap_or(1)).map(&ask).buffered(FAN_OUT);
        let mut tasks = vec![first];
        tasks.extend(rest.map(|(state, _)| state).collect::<Vec<_>>().await);
        Tally { tasks }
    }

    async fn status_of(&self, key: &Key, index: u32) -> (KeyState, Option<u32>) {
        // a bar holds for all that began before it
        let claim = Claim { received_ms: 0, ..key.claim(index) };
        let Some(KeyInfo { grant, task_count: count }) =
            self.ask_home(&key.service, &claim, Query::Look).await
        else {
            return (no_home(), None);
        };
        let state = match grant {
            Grant::Held(holder) => self.state_at(&holder, &claim.id).await,
            Grant::Free => KeyState::Unseen,
            Grant::Barred => KeyState::NotRun,
            other => not_told(other),
        };
        (state, count)
    }

    async fn cancel_of(&self, key: &Key, index: u32) -> (KeyState, Option<u32>) {
        let claim = key.claim(index);
        let mut known = None;
        for _ in 0..CANCEL_TRIES {
            let Some(KeyInfo { grant, task_count: count }) =
                self.ask_home(&key.service, &claim, Query::Bar).await
            else {
                return (no_home(), known);
            };
            known = known.or(count);
            let holder = match grant {
                Grant::Held(holder) => holder,
                Grant::Barred => return (KeyState::NotRun, known),
                other => return (not_told(other), known),
            };
            if !self.stop(&holder, &claim.id).await {
                return (self.state_at(&holder, &claim.id).await, known);
            }
            sleep(CANCEL_PAUSE).await;
        }
        (KeyState::Unknown("the home has not heard of it yet: ask for the status".into()), known)
    }

    /// Has the holder of a claim give a task up that has not started.
    async fn stop(&self, holder: &Holder, id: &TaskId) -> bool {
        let Some(agent) = self.agent(holder).await else { return false };
        let mut req = agent.cancel_request();
        Method::Cancel.record_call();
        write_id(req.get().init_ids(1).get(0), id);
        let Ok(Ok(res)) = timeout(ASK_TIMEOUT, req.send().promise).await else { return false };
        let stopped = res.get().and_then(|r| r.get_stopped());
        stopped.is_ok_and(|stopped| stopped.len() == 1 && stopped.get(0))
    }

    async fn state_at(&self, holder: &Holder, id: &TaskId) -> KeyState {
        let lost = || KeyState::Unknown(format!("agent {} can't be asked", holder.name).into());
        let Some(agent) = self.agent(holder).await else { return lost() };
        let mut req = agent.status_request();
        Method::Status.record_call();
        write_id(req.get().init_id(), id);
        let Ok(Ok(res)) = timeout(ASK_TIMEOUT, req.send().promise).await else { return lost() };
        let Ok(res) = res.get() else { return lost() };
        match res.get_stage() {
            Ok(Stage::Queued) => KeyState::Queued,
            Ok(Stage::Running) => KeyState::Running,
            Ok(Stage::Over) => {
                match res.get_reply().map_err(wire::Error::from).and_then(read_reply) {
                    Ok(Reply::Answer(answer)) => KeyState::Over(answer),
                    _ => lost(),
                }
            }
            // it holds the claim and has just given the task up
            Ok(Stage::Unseen) => KeyState::Unseen,
            Err(_) => lost(),
        }
    }

    /// The agent that holds a claim, if this life of it is still there.
    async fn agent(&self, holder: &Holder) -> Option<agent::Client> {
        let peer = self.agents.get(&holder.name)?;
        if peer.incarnation != holder.incarnation {
            return None;
        }
        self.links.get(peer.address).await.ok()?.agent().ok()
    }
}

impl Key {
    fn claim(&self, index: u32) -> Claim {
        Claim {
            id: TaskId::new(self.team.clone(), self.key.clone(), index),
            digest: Digest::UNKNOWN,
            issued_ms: self.issued,
            received_ms: now_ms(),
            task_count: 0,
            sequence: 0,
        }
    }
}

fn no_home() -> KeyState {
    KeyState::Unknown("the home of the key can't be asked".into())
}

fn not_told(grant: Grant) -> KeyState {
    match grant {
        Grant::Unknown(why) => KeyState::Unknown(why),
        _ => no_home(),
    }
}
