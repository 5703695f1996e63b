use std::time::Duration;

use claim::{Claim, KeyInfo};
use tokio::time::timeout;
use wire::{Method, read_grant, write_claim};

use super::dispatcher::Dispatcher;

/// Longest wait for one word of a home.
const HOME_TIMEOUT: Duration = Duration::from_secs(1);

/// What is asked of the home of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeQuery {
    /// who holds the claim
    LookUp,
    /// the same, and bar the calls begun so far if nobody does
    Bar,
}

impl Dispatcher {
    /// The home's word on a key; `None` when it can't be asked.
    pub(super) async fn query_home(
        &self,
        service: &str,
        claim: &Claim,
        query: HomeQuery,
    ) -> Option<KeyInfo> {
        let ask = self.try_home(service, claim, query);
        timeout(HOME_TIMEOUT, ask).await.ok()?.ok()?
    }

    async fn try_home(
        &self,
        service: &str,
        claim: &Claim,
        query: HomeQuery,
    ) -> wire::Result<Option<KeyInfo>> {
        let Some(home) = self.home(service, &claim.id) else { return Ok(None) };
        let link = self.links.get(home.address).await?;
        let mut req = link.agent()?.bar_request();
        Method::Bar.record_call();
        req.get().set_look(query == HomeQuery::LookUp);
        write_claim(req.get().init_claim(), claim);
        let res = req.send().promise.await?;
        Ok(Some(read_grant(res.get()?.get_grant()?)?))
    }
}
