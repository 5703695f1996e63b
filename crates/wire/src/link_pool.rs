use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use crate::{Link, Result, dial};
use base::Token;
use futures::lock::Mutex;

type Slot = Rc<Mutex<Option<Rc<Link>>>>;

/// Connections of one thread to agents, opened when first needed.
pub struct LinkPool {
    token: Token,
    slots: RefCell<HashMap<SocketAddr, Slot>>,
}

impl LinkPool {
    pub fn new(token: Token) -> Self {
        Self { token, slots: RefCell::default() }
    }

    /// The connection to an agent; several callers share one dial.
    ///
    /// # Errors
    /// When the agent can't be connected to.
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
