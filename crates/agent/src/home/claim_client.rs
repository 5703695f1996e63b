use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{Event, Member, Token};
use claim::{Claim, Grant, Release};
use roster::Homes;
use tokio::{
    sync::oneshot,
    task::yield_now,
    time::{sleep, timeout},
};
use wire::{LinkPool, Method, read_grant, write_claim, write_member};

use super::{ClaimServer, clock::MAX_CALL_TIME};

/// Longest wait for the home's answer to a claim request.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_RELEASE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RELEASE_BACKOFF: Duration = Duration::from_secs(2);
/// A release that no home has confirmed by then no longer matters.
const MAX_RELEASE_ATTEMPTS: u32 = 400;
/// Attempts with a shorter backoff than the longest.
const SHORT_BACKOFFS: u32 = 5;
/// Largest `skew_ms` for which the next holds.
const MAX_SKEW: Duration = Duration::from_secs(30);
// a bar is given up only when the calls it refuses are too old to be granted
const _: () = assert!(
    (MAX_RELEASE_ATTEMPTS - SHORT_BACKOFFS) as u64 * MAX_RELEASE_BACKOFF.as_secs()
        > MAX_CALL_TIME.as_secs() + 2 * MAX_SKEW.as_secs()
);

/// Requests claims from the homes of keys; requests to one home are batched.
#[derive(Clone)]
pub struct ClaimClient {
    state: Rc<State>,
}

struct State {
    me: Member,
    homes: Rc<dyn Homes>,
    claim_server: Rc<ClaimServer>,
    links: LinkPool,
    batches: RefCell<HashMap<SocketAddr, Vec<ClaimRequest>>>,
    pending_releases: Cell<usize>,
}

impl State {
    /// This agent under its current incarnation.
    fn me(&self) -> Member {
        self.homes.me().unwrap_or_else(|| self.me.clone())
    }
}

struct ClaimRequest {
    claim: Claim,
    reply: oneshot::Sender<Grant>,
}

impl ClaimClient {
    pub fn new(
        me: Member,
        homes: Rc<dyn Homes>,
        claim_server: Rc<ClaimServer>,
        token: Token,
    ) -> Self {
        let state = State {
            me,
            homes,
            claim_server,
            links: LinkPool::new(token),
            batches: RefCell::default(),
            pending_releases: Cell::new(0),
        };
        Self { state: Rc::new(state) }
    }

    /// Requests a claim from the home of its key; `None` if the home didn't answer
    /// in time, in which case it may still have granted the claim.
    pub async fn request(&self, claim: Claim) -> Option<Grant> {
        let Some(home) = self.state.homes.home(&claim.id) else {
            return Some(self.not_asked());
        };
        if home.name == self.state.me.name {
            return Some(self.state.claim_server.claim(&self.state.me(), claim));
        }
        let (reply, grant) = oneshot::channel();
        self.enqueue(home.address, ClaimRequest { claim, reply });
        timeout(CLAIM_TIMEOUT, grant).await.ok()?.ok()
    }

    /// Releases a claim; retries until the home has confirmed it.
    pub async fn release(&self, claim: &Claim, release: Release) {
        self.state.pending_releases.update(|n| n + 1);
        let mut backoff = MIN_RELEASE_BACKOFF;
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            if let Ok(Ok(())) = timeout(RELEASE_TIMEOUT, self.try_release(claim, release)).await {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RELEASE_BACKOFF);
        }
        self.state.pending_releases.update(|n| n - 1);
    }

    /// Number of released claims that their home has not confirmed yet.
    pub fn pending_releases(&self) -> usize {
        self.state.pending_releases.get()
    }

    fn enqueue(&self, home: SocketAddr, request: ClaimRequest) {
        let mut batches = self.state.batches.borrow_mut();
        let batch = batches.entry(home).or_default();
        batch.push(request);
        if batch.len() == 1 {
            actix::spawn(self.clone().flush(home));
        }
    }

    /// Sends the batch for one home.
    async fn flush(self, home: SocketAddr) {
        // lets other ready tasks add requests to the batch
        yield_now().await;
        let batch = self.state.batches.borrow_mut().remove(&home).unwrap_or_default();
        let grants = match self.send_batch(home, &batch).await {
            Ok(grants) => grants,
            Err(e) if is_unsent(&e) => vec![self.not_asked(); batch.len()],
            Err(e) => return Event::HomeUnresponsive.log(format_args!("{home}: {e}")),
        };
        self.deliver(batch, grants);
    }

    fn deliver(&self, batch: Vec<ClaimRequest>, grants: Vec<Grant>) {
        for (request, grant) in batch.into_iter().zip(grants) {
            let Err(grant) = request.reply.send(grant) else { continue };
            if grant == Grant::Granted {
                self.release_unwanted(request.claim);
            }
        }
    }

    /// Grant for a claim that no home was asked for.
    fn not_asked(&self) -> Grant {
        Grant::NotHome { epoch: self.state.homes.epoch() }
    }

    /// Releases a claim whose grant came after the request timed out.
    fn release_unwanted(&self, claim: Claim) {
        let client = self.clone();
        actix::spawn(async move { client.release(&claim, Release::Free).await });
    }

    async fn send_batch(
        &self,
        home: SocketAddr,
        batch: &[ClaimRequest],
    ) -> wire::Result<Vec<Grant>> {
        let link = self.state.links.get(home).await?;
        let mut req = link.agent()?.claim_request();
        Method::Claim.record_call();
        req.get().set_epoch(self.state.homes.epoch());
        write_member(req.get().init_executor(), &self.state.me());
        let mut claims = req.get().init_claims(batch.len() as u32);
        for (i, request) in (0..).zip(batch) {
            write_claim(claims.reborrow().get(i), &request.claim);
        }
        let res = req.send().promise.await?;
        let grants = res.get()?.get_grants()?;
        grants.iter().map(|grant| Ok(read_grant(grant)?.grant)).collect()
    }

    async fn try_release(&self, claim: &Claim, release: Release) -> wire::Result<()> {
        let state = &self.state;
        let Some(home) = state.homes.home(&claim.id) else {
            return Err(wire::Error::Lost("no home is known".to_owned()));
        };
        if home.name == state.me.name {
            let released = state.claim_server.release(&state.me(), claim, release);
            return released
                .then_some(())
                .ok_or_else(|| wire::Error::Lost("not home now".to_owned()));
        }
        let link = state.links.get(home.address).await?;
        let mut req = link.agent()?.release_request();
        Method::Release.record_call();
        req.get().set_epoch(state.homes.epoch());
        write_member(req.get().init_executor(), &state.me());
        write_claim(req.get().init_claims(1).get(0), claim);
        req.get().init_bars(1).set(0, release == Release::Bar);
        req.send().promise.await?;
        Ok(())
    }
}

fn is_unsent(error: &wire::Error) -> bool {
    use wire::Error::{Connect, NotListening, Refused};
    matches!(error, Connect { .. } | NotListening { .. } | Refused { .. })
}
