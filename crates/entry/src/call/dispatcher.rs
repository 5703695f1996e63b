use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::{RetryBudget, RetryBudgetSettings};
use base::{Answer, Name, Outcome, Task, TaskId};
use claim::{Claim, Grant, KeyInfo};
use futures::future::try_join_all;
use roster::{Homes, Roster};
use tokio::time::{sleep, timeout_at};
use wire::{Link, LinkPool, Method, Reply, read_load, read_reply, write_task};

use super::{
    admission::AdmissionControl,
    chooser::{Chooser, ChosenAgent},
    home::HomeQuery,
    keyed_call::KeyedCall,
};
use crate::{
    app::SharedState,
    fleet::{Agent, Agents, Rosters},
    metrics::{Decision, Metrics},
};

const NO_AGENT_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_OFFERS: usize = 3;
/// How often the heartbeats of an agent with an open offer are checked.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Failures of a task besides its four outcomes.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the key was used before with another operation or body")]
    Conflict,
}

pub type Result<T> = std::result::Result<T, Error>;

/// Runs tasks to their answers, on one thread.
pub struct Dispatcher {
    pub(super) agents: Arc<Agents>,
    pub(super) rosters: Arc<Rosters>,
    pub(super) links: LinkPool,
    /// a call that is retried after this delay is received after the bar, despite clock skew
    pub(super) bar_retry_delay: Duration,
    chooser: Chooser,
    admission: Arc<AdmissionControl>,
    budget: RefCell<RetryBudget>,
    metrics: Arc<Metrics>,
}

/// How one offer ended.
pub(super) enum OfferOutcome {
    Replied(Reply),
    /// nothing was sent
    Unsent,
    /// sent, but no reply came
    Lost(String),
}

impl Dispatcher {
    pub fn new(shared: &SharedState) -> Self {
        let settings = &shared.settings;
        let agents = shared.agents.clone();
        Self {
            chooser: Chooser::new(agents.clone(), settings.centre.clone(), settings.pick),
            agents,
            admission: shared.admission.clone(),
            budget: RefCell::new(RetryBudget::new(RetryBudgetSettings::default())),
            metrics: shared.metrics.clone(),
            rosters: shared.rosters.clone(),
            links: LinkPool::new(settings.token.clone()),
            bar_retry_delay: Duration::from_millis(2 * settings.skew_ms),
        }
    }

    /// Runs a task to its one answer, by its deadline.
    ///
    /// # Errors
    /// `Conflict` when its key was used with another body.
    pub async fn run(&self, task: Task) -> Result<Answer> {
        let refusal = self.refusal(std::slice::from_ref(&task));
        self.run_task(task, refusal).await
    }

    /// Runs all tasks of a job to their answers; they are admitted or refused
    /// together.
    ///
    /// # Errors
    /// `Conflict` when its key was used with another body.
    pub async fn run_all(&self, tasks: Vec<Task>) -> Result<Vec<Answer>> {
        let refusal = self.refusal(&tasks);
        try_join_all(tasks.into_iter().map(|t| self.run_task(t, refusal.clone()))).await
    }

    /// Why a submission is not admitted, if it is not.
    fn refusal(&self, tasks: &[Task]) -> Option<Answer> {
        let first = tasks.first()?;
        let load = self.chooser.service_load(&first.service, &first.operation);
        self.admission.refusal(tasks, load)
    }

    /// Takes a retry from the budget, if one is left; the budget bounds the load
    /// that retries add to an overloaded service.
    pub(super) fn take_retry(&self) -> bool {
        let granted = self.budget.borrow_mut().withdraw();
        self.metrics.record_decision(if granted { Decision::Retry } else { Decision::NoRetry });
        granted
    }

    async fn run_task(&self, task: Task, refusal: Option<Answer>) -> Result<Answer> {
        self.budget.borrow_mut().deposit();
        let deadline = task.deadline.into();
        let run = async {
            if task.keyed {
                return KeyedCall::new(self, task, refusal).run().await;
            }
            if let Some(refusal) = refusal {
                return Ok(refusal);
            }
            self.try_agents(task).await
        };
        match timeout_at(deadline, run).await {
            Ok(answer) => answer,
            Err(_) => Ok(Answer::unknown("no answer by the deadline")),
        }
    }

    /// Refuses a job whose key was used with another body, before any of its
    /// tasks is offered.
    ///
    /// # Errors
    /// `Conflict` when the key was used with another body.
    pub async fn check_key(&self, first: &Task) -> Result<()> {
        if !first.keyed || first.task_count < 2 {
            return Ok(());
        }
        match self.query_home(&first.service, &claim_of(first), HomeQuery::LookUp).await {
            Some(KeyInfo { grant: Grant::Conflict, .. }) => Err(Error::Conflict),
            _ => Ok(()),
        }
    }

    /// Runs a task without a key: one offer at a time, the next one only when the
    /// last certainly did not start the task.
    async fn try_agents(&self, task: Task) -> Result<Answer> {
        let mut last = no_agent();
        let mut tried: Vec<Name> = Vec::new();
        let mut is_free = true;
        while tried.len() < MAX_OFFERS && (is_free || self.take_retry()) {
            let skip = |agent: &Agent| tried.contains(&agent.name);
            let Some(chosen) = self.chooser.choose(&task.service, &task.operation, &skip) else {
                break;
            };
            tried.push(chosen.agent.name.clone());
            match self.offer(&chosen, &task).await {
                OfferOutcome::Replied(Reply::Conflict) => return Err(Error::Conflict),
                OfferOutcome::Replied(Reply::Held(holder)) => {
                    return Ok(Answer::unknown(&format!("agent {} holds the task", holder.name)));
                }
                OfferOutcome::Replied(Reply::Answer(answer))
                    if answer.outcome != Outcome::NotRun =>
                {
                    return Ok(answer);
                }
                OfferOutcome::Replied(Reply::Answer(answer) | Reply::Declined(answer)) => {
                    last = answer
                }
                OfferOutcome::Unsent => {}
                OfferOutcome::Lost(reason) => return Ok(Answer::unknown(&reason)),
            }
            // moving work off a draining agent costs no retry budget
            is_free = !chosen.agent.is_ready();
        }
        Ok(last)
    }

    /// Chooses an agent for a keyed task. Its home is excluded, so that the loss of
    /// one VM never takes both the claim and the record of the start; the home's
    /// rack is excluded where there is a choice.
    pub(super) fn choose_off_home(&self, task: &Task) -> Option<ChosenAgent> {
        let roster = self.rosters.get(&task.service);
        let home = roster.home(&task.id).filter(|_| roster.members.len() > 1);
        let choose = |skip: &dyn Fn(&Agent) -> bool| {
            self.chooser.choose(&task.service, &task.operation, skip)
        };
        let Some(home) = home else { return choose(&|_| false) };
        let rack = rack_names(&roster, &home.rack);
        let in_rack = |agent: &Agent| agent.name == home.name || rack.contains(&&*agent.name);
        choose(&in_rack).or_else(|| choose(&|agent: &Agent| agent.name == home.name))
    }

    /// Offers a task and waits for the reply. For keyed tasks the wait ends when
    /// the agent's heartbeats stop.
    pub(super) async fn offer(&self, chosen: &ChosenAgent, task: &Task) -> OfferOutcome {
        let agent = &chosen.agent;
        self.metrics.record_decision(Decision::Offer);
        let Ok(link) = self.links.get(agent.address).await else { return OfferOutcome::Unsent };
        let Ok(client) = link.agent() else { return OfferOutcome::Unsent };
        let mut req = client.run_request();
        Method::Run.record_call();
        write_task(req.get().init_task(), task, Instant::now());
        let sent = req.send().promise;
        let reply = tokio::select! {
            reply = sent => read_run_reply(chosen, reply),
            () = self.wait_until_silent(agent, &link), if task.keyed => {
                Err(wire::Error::Lost("not heard any more".to_owned()))
            }
        };
        match reply {
            Ok(reply) => {
                self.observe_run(task, &reply);
                OfferOutcome::Replied(reply)
            }
            Err(e) => OfferOutcome::Lost(format!("agent {} gave no answer: {e}", agent.name)),
        }
    }

    pub(super) fn observe_run(&self, task: &Task, reply: &Reply) {
        if let Reply::Answer(answer) = reply
            && answer.outcome == Outcome::Done
        {
            self.chooser.observe_run(&task.service, &task.operation, answer.run_time);
        }
    }

    /// The home of a task, as far as this entry knows.
    pub(super) fn home(&self, service: &str, id: &TaskId) -> Option<base::Member> {
        self.rosters.get(service).home(id)
    }

    /// Returns once the link is down or the agent's heartbeats have stopped.
    async fn wait_until_silent(&self, agent: &Agent, link: &Link) {
        while !link.is_down() && !agent.is_silent(self.agents.heartbeat_timeout()) {
            sleep(LIVENESS_CHECK_INTERVAL).await;
        }
    }
}

/// The claim on a task, as sent to its home.
pub(super) fn claim_of(task: &Task) -> Claim {
    Claim {
        id: task.id.clone(),
        digest: task.digest,
        issued_ms: task.issued_ms,
        received_ms: task.received_ms,
        task_count: task.task_count,
        sequence: 0,
    }
}

/// Answer when no agent takes new work.
pub(super) fn no_agent() -> Answer {
    Answer::not_run("no agent of the service takes new work", NO_AGENT_RETRY_AFTER)
}

fn rack_names<'a>(roster: &'a Roster, rack: &str) -> Vec<&'a str> {
    let in_rack = roster.members.iter().filter(|m| !rack.is_empty() && *m.rack == *rack);
    in_rack.map(|m| &*m.name).collect()
}

type Response = capnp::capability::Response<wire::egret_capnp::agent::run_results::Owned>;

fn read_run_reply(chosen: &ChosenAgent, response: capnp::Result<Response>) -> wire::Result<Reply> {
    let response = response?;
    let reply = response.get()?.get_reply()?;
    chosen.update_load(read_load(reply.get_load()?));
    read_reply(reply)
}
