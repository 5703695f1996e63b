use std::time::Duration;

use awc::Client;
use base::{Member, TaskId};
use roster::{Roster, home};
use serde_json::Value;
use tokio::time::sleep;

use crate::Deployment;

const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_SETTLE_POLLS: u32 = 1000;

impl Deployment {
    /// Reads the stored roster; an empty one while the platform is down.
    pub async fn roster(&self) -> Roster {
        let row = Roster::row_key("ledger");
        let url = format!("http://127.0.0.1:{}/tables/egret/{row}", self.platform_port);
        let Ok(mut res) = Client::default().get(url).send().await else { return Roster::default() };
        let Ok(row) = res.json::<Value>().await else { return Roster::default() };
        Roster::from_text(row["value"].as_str().unwrap_or("")).unwrap_or_default()
    }

    /// Waits for a settled roster of exactly these agents with an epoch above
    /// `after`, and returns it.
    pub async fn wait_settled(&self, agents: &[usize], after: u64) -> Roster {
        let mut names: Vec<_> = agents.iter().map(|i| format!("agent-{i}")).collect();
        names.sort();
        for _ in 0..MAX_SETTLE_POLLS {
            let roster = self.roster().await;
            let mut members: Vec<_> = roster.members.iter().map(|m| m.name.to_string()).collect();
            members.sort();
            if roster.settled && roster.epoch > after && members == names {
                return roster;
            }
            sleep(SETTLE_POLL_INTERVAL).await;
        }
        panic!("agents {agents:?} never settled: {:?}", self.roster().await);
    }

    /// A key whose home is `agent` in a roster of exactly `agents`.
    pub fn key_with_home(&self, agent: usize, agents: &[usize], prefix: &str) -> String {
        let members: Vec<_> = agents.iter().map(|i| member(*i)).collect();
        let is_home = |key: &String| {
            let id = TaskId::new("coop".into(), key.as_str().into(), 0);
            home(&members, &id).is_some_and(|m| m.name == member(agent).name)
        };
        let mut keys = (0..).map(|n| format!("{prefix}-{n}"));
        keys.find(is_home).expect("some key has this home")
    }
}

fn member(i: usize) -> Member {
    Member {
        name: format!("agent-{i}").into(),
        incarnation: 0,
        address: ([127, 0, 0, 1], 1).into(),
        centre: "".into(),
        rack: "".into(),
    }
}
