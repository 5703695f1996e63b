use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use crate::{Link, Result, dial};
use base::Token;
use futures::lock::Mutex;

type Slot = Rc<Mutex<Option<Rc<Link>>>>;

/// Connections of one thread to agents, opened on first use.
pub struct LinkPool {
    token: Token,
    slots: RefCell<HashMap<SocketAddr, Slot>>,
}

impl LinkPool {
    pub fn new(token: Token) -> Self {
        Self { token, slots: RefCell::default() }
    }

    /// Returns the connection to an agent; concurrent callers share one attempt
    /// to connect.
    ///
    /// # Errors
    /// When connecting to the agent fails.
    pub async fn get(&self, address: SocketAddr) -> Result<Rc<Link>> {
        let slot = self.slots.borrow_mut().entry(address).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|l| !l.is_down()) {
            return Ok(link.clone());
        }
        let link = Rc::new(dial(address, &self.token).await?);
        *slot = Some(link.clone());
        Ok(link)
    }
}
