use std::time::Duration;

use claim::{Claim, KeyInfo};
use tokio::time::timeout;
use wire::{Method, read_grant, write_claim};

use super::dispatcher::Dispatcher;

/// Longest wait for one reply of a home.
const HOME_TIMEOUT: Duration = Duration::from_secs(1);

/// Query to the home of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeQuery {
    /// look up who holds the claim
    LookUp,
    /// the same, and if nobody holds it, bar the calls received so far
    Bar,
}

impl Dispatcher {
    /// Queries the home of a key; `None` when it is unknown or gives no reply.
    pub(super) async fn query_home(
        &self,
        service: &str,
        claim: &Claim,
        query: HomeQuery,
    ) -> Option<KeyInfo> {
        let reply = self.try_home(service, claim, query);
        timeout(HOME_TIMEOUT, reply).await.ok()?.ok()?
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
