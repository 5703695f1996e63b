//! The protocol between egretshelf processes: the generated code of
//! `schema/egret.capnp`, connections authenticated by the fleet token, and
//! conversions between messages and the types of the other crates.

mod answer;
mod bootstrap;
mod claim;
mod document;
mod heartbeat;
#[allow(clippy::all, clippy::unimplemented, clippy::wildcard_imports)]
#[rustfmt::skip]
pub mod egret_capnp;
mod info;
mod lease;
mod link;
mod link_pool;
mod method;
mod task;
mod text;
mod traffic;

pub use answer::{Reply, read_reply, write_answer, write_reply};
pub use bootstrap::Bootstrap;
pub use claim::{
    read_claim, read_grant, read_ids, read_member, read_record, write_claim, write_grant,
    write_member, write_record,
};
pub use document::{Document, Fetched, SEND_NOTHING, fetch_document, send_document};
pub use heartbeat::{read_heartbeat, read_roster, write_heartbeat};
pub use info::{AgentInfo, ClassLoad, Load, read_info, read_load, write_info, write_load};
pub use lease::{
    Hello, Welcome, read_batch, read_batch_status, read_hello, read_welcome, write_batch,
    write_batch_status, write_hello, write_welcome,
};
pub use link::{Link, dial, dial_within, serve};
pub use link_pool::LinkPool;
pub use method::Method;
pub use task::{read_id, read_task, write_id, write_task};
pub use traffic::{MessageCounter, Traffic};

/// Version of the protocol; peers with another one are rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// Failure of a connection or a call between two processes of the fleet.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// nothing was sent
    #[error("can't connect to {address}: {reason}")]
    Connect { address: String, reason: String },
    /// nothing was sent, and no process listens there
    #[error("no process at {address}")]
    NotListening { address: String },
    /// the peer didn't accept the token or the protocol version
    #[error("refused by {address}: {reason}")]
    Refused { address: String, reason: String },
    /// a message that was sent may have been received
    #[error("link lost: {0}")]
    Lost(String),
    #[error("message can't be read: {0}")]
    Malformed(String),
    /// the peer is older than the call
    #[error("call is not supported: {0}")]
    Unsupported(String),
}

pub type Result<T> = std::result::Result<T, Error>;

impl From<capnp::Error> for Error {
    fn from(e: capnp::Error) -> Self {
        match e.kind {
            capnp::ErrorKind::Unimplemented => Error::Unsupported(e.to_string()),
            _ => Error::Lost(e.to_string()),
        }
    }
}
