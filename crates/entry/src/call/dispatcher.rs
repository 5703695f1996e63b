use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Answer, Outcome, Task};
use conf::EntrySettings;
use tokio::time::{sleep, timeout_at};
use wire::{Reply, read_load, read_reply, write_task};

use super::{
    chooser::{Chooser, Chosen},
    links::Links,
};
use crate::fleet::Agents;

const RETRY_AFTER: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_TRIES: u32 = 3;

/// What can go wrong with a task besides its four outcomes.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the key was used before with another operation or body")]
    Conflict,
}

pub type Result<T> = std::result::Result<T, Error>;

/// Takes tasks to their answers, on one thread.
pub struct Dispatcher {
    chooser: Chooser,
    links: Links,
}

/// How one offer ended.
enum Tried {
    Replied(Reply),
    /// nothing was sent
    Unsent,
    /// sent, and no reply came
    Lost(String),
}

impl Dispatcher {
    pub fn new(agents: Arc<Agents>, settings: &EntrySettings) -> Self {
        Self {
            chooser: Chooser::new(agents, settings.centre.clone(), settings.pick),
            links: Links::new(settings.token.clone()),
        }
    }

    /// Gives the one answer to a task, by its deadline.
    ///
    /// # Errors
    /// `Conflict` when its key was used with another body.
    pub async fn run(&self, task: Task) -> Result<Answer> {
        let deadline = task.deadline.into();
        match timeout_at(deadline, self.try_agents(task)).await {
            Ok(answer) => answer,
            Err(_) => Ok(Answer::unknown("no answer by the deadline")),
        }
    }

    async fn try_agents(&self, task: Task) -> Result<Answer> {
        let mut last = Answer::not_run("no agent of the service takes new work", RETRY_AFTER);
        for _ in 0..MAX_TRIES {
            let Some(chosen) = self.chooser.choose(&task.service, &task.operation, &|_| false)
            else {
                break;
            };
            match self.offer(&chosen, &task).await {
                Tried::Replied(Reply::Conflict) => return Err(Error::Conflict),
                Tried::Replied(Reply::Held(holder)) => return Ok(held_elsewhere(&holder)),
                Tried::Replied(Reply::Answer(answer)) => {
                    if answer.outcome != Outcome::NotRun {
                        return Ok(answer);
                    }
                    last = answer;
                }
                Tried::Unsent => {}
                Tried::Lost(why) => return Ok(Answer::unknown(&why)),
            }
            sleep(RETRY_PAUSE).await;
        }
        Ok(last)
    }

    async fn offer(&self, chosen: &Chosen, task: &Task) -> Tried {
        let agent = &chosen.peer;
        let Ok(link) = self.links.get(agent.address).await else { return Tried::Unsent };
        let Ok(client) = link.agent() else { return Tried::Unsent };
        let mut req = client.run_request();
        write_task(req.get().init_task(), task, Instant::now());
        match read(chosen, req.send().promise.await) {
            Ok(reply) => {
                self.learn(task, &reply);
                Tried::Replied(reply)
            }
            Err(e) => Tried::Lost(format!("agent {} gave no answer: {e}", agent.name)),
        }
    }

    fn learn(&self, task: &Task, reply: &Reply) {
        if let Reply::Answer(answer) = reply
            && answer.outcome == Outcome::Done
        {
            self.chooser.learn(&task.service, &task.operation, answer.ran);
        }
    }
}

type Response = capnp::capability::Response<wire::egret_capnp::agent::run_results::Owned>;

fn read(chosen: &Chosen, response: capnp::Result<Response>) -> wire::Result<Reply> {
    let response = response?;
    let reply = response.get()?.get_reply()?;
    chosen.reported(read_load(reply.get_load()?));
    read_reply(reply)
}

fn held_elsewhere(holder: &str) -> Answer {
    Answer::unknown(&format!("agent {holder} holds the task"))
}
