use std::{rc::Rc, time::Duration};

use base::Name;
use capnp::Error;
use lease::SessionId;
use wire::{
    egret_capnp::worker::{
        FollowParams, FollowResults, PlaceParams, PlaceResults, Server, StopParams, StopResults,
    },
    read_batch, write_batch_status,
};

use crate::{Driver, link_state::LinkState};

/// Reason of what is returned because its entry does not know the backend server yet.
const UNKNOWN_LIFE: &str = "backend server started anew";

/// RPC server for one entry over one link.
pub struct LinkWorker {
    driver: Rc<Driver>,
    entry: Name,
    /// calls that arrive over a link that has been replaced are refused
    link: Rc<LinkState>,
}

impl LinkWorker {
    pub fn new(driver: Rc<Driver>, entry: Name, link: Rc<LinkState>) -> Self {
        Self { driver, entry, link }
    }

    /// Extends the entry's session, up to the time that it proves the entry alive.
    async fn begin_call(&self, session: u64, alive_us: u64) -> Result<SessionId, Error> {
        // a task may arrive before the answer to the first heartbeat, which tells an
        // agent that has just started whether its data centre is drained
        self.link.wait_joined().await;
        if self.link.is_closed() {
            return Err(Error::disconnected("link was replaced".to_owned()));
        }
        let session = SessionId(session);
        self.driver.extend_session(session, &self.entry, Duration::from_micros(alive_us));
        Ok(session)
    }
}

impl Server for LinkWorker {
    async fn place(
        self: Rc<Self>,
        params: PlaceParams,
        mut results: PlaceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let session = self.begin_call(params.get_session(), params.get_heard_us()).await?;
        let batch = read_batch(params.get_batch()?).map_err(|e| Error::failed(e.to_string()))?;
        let status = match self.link.known_life() == self.driver.life() {
            true => self.driver.place(session, batch).await,
            // chosen by the labels and the capacity of a former life
            false => self.driver.decline(session, batch, UNKNOWN_LIFE).await,
        };
        write_batch_status(results.get().init_progress(), &status);
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: FollowParams,
        mut results: FollowResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let session = self.begin_call(params.get_session(), params.get_heard_us()).await?;
        let (number, after) = (params.get_number(), params.get_after() as usize);
        let sent_at = Duration::from_micros(params.get_sent_us());
        let time_left = Duration::from_millis(params.get_left_ms().into());
        let status = self.driver.follow(session, number, after, sent_at, time_left).await;
        write_batch_status(results.get().init_progress(), &status);
        Ok(())
    }

    async fn stop(
        self: Rc<Self>,
        params: StopParams,
        mut results: StopResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let session = SessionId(params.get_session());
        let status = self.driver.cancel_batch(session, params.get_number()).await;
        write_batch_status(results.get().init_progress(), &status);
        Ok(())
    }
}
