use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Answer, Name, Outcome, Task};
use tokio::time::{sleep, timeout_at};
use wire::{AgentInfo, Reply, read_load, read_reply, write_task};

use super::{links::Links, pick::pick};
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
    agents: Arc<Agents>,
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
    pub fn new(agents: Arc<Agents>, token: base::Token) -> Self {
        Self { agents, links: Links::new(token) }
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
            let Some(agent) = self.pick(&task.service) else { break };
            match self.offer(&agent, &task).await {
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

    fn pick(&self, service: &Name) -> Option<AgentInfo> {
        pick(&self.agents.ready(service), &mut rand::rng())
    }

    async fn offer(&self, agent: &AgentInfo, task: &Task) -> Tried {
        let Ok(link) = self.links.get(agent.address).await else { return Tried::Unsent };
        let Ok(client) = link.agent() else { return Tried::Unsent };
        let mut req = client.run_request();
        write_task(req.get().init_task(), task, Instant::now());
        match self.reply(&agent.name, req.send().promise.await) {
            Ok(reply) => Tried::Replied(reply),
            Err(e) => Tried::Lost(format!("agent {} gave no answer: {e}", agent.name)),
        }
    }

    fn reply(
        &self,
        agent: &str,
        response: capnp::Result<
            capnp::capability::Response<wire::egret_capnp::agent::run_results::Owned>,
        >,
    ) -> wire::Result<Reply> {
        let response = response?;
        let reply = response.get()?.get_reply()?;
        self.agents.refresh(agent, read_load(reply.get_load()?));
        read_reply(reply)
    }
}

fn held_elsewhere(holder: &str) -> Answer {
    Answer::unknown(&format!("agent {holder} holds the task"))
}
