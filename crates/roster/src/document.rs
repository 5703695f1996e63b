use std::time::Instant;

use base::{Member, Name, TaskId};
use claim::Tenure;
use serde::{Deserialize, Serialize};

use crate::{Error, Homes, Result, home};

/// The roster of a service, as stored in its row of the platform's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// grows by one with every change of the members
    pub epoch: u64,
    pub members: Vec<Member>,
    /// whether every new home holds the records of its keys
    pub settled: bool,
    /// epoch of the settled roster that this one replaces
    pub base_epoch: u64,
    /// members of that roster, while this one is not settled
    #[serde(rename = "base")]
    pub base_members: Vec<Member>,
    /// base members that leave as planned, after they have handed over
    pub leaving: Vec<Member>,
    /// changes that may have lost both copies of a record: a key issued before
    /// one of them may have run already
    #[serde(rename = "marks")]
    pub record_losses: Vec<SettledChange>,
    /// changes that removed lost members, whose bars are lost as well
    #[serde(rename = "losses")]
    pub member_losses: Vec<SettledChange>,
    /// when records last lost one of their copies, unix milliseconds
    #[serde(rename = "thinned_ms")]
    pub copy_lost_ms: Option<u64>,
    /// members that an operator has confirmed as lost
    #[serde(rename = "confirmed")]
    pub confirmed_loss: Option<ConfirmedLoss>,
    /// number of writes of the row
    #[serde(rename = "change")]
    pub revision: u64,
}

/// A change of the roster and when it settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettledChange {
    pub epoch: u64,
    /// unix milliseconds
    pub at_ms: u64,
}

/// An operator's confirmation that members are lost for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmedLoss {
    pub lost: Vec<Member>,
    pub author: Name,
    /// for the next operator on duty
    pub reason: String,
    /// unix milliseconds
    pub at_ms: u64,
}

impl Roster {
    /// Key of the row in the platform's table that holds the roster of a service.
    pub fn row_key(service: &str) -> String {
        format!("roster/{service}")
    }

    /// The JSON document in the row and in messages.
    pub fn to_text(&self) -> String {
        // serialization of these fields can't fail
        serde_json::to_string(self).unwrap_or_default()
    }

    /// # Errors
    /// `Malformed` if the text is no valid document.
    pub fn from_text(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Whether this incarnation of a member is listed.
    pub fn contains(&self, member: &Member) -> bool {
        contains(&self.members, member)
    }

    /// Members that may be granted claims: only those of a settled roster.
    pub fn executors(&self) -> Vec<Member> {
        if self.settled {
            return self.members.clone();
        }
        // a sole member grants nothing until the joining members are settled
        if self.base_members.len() == 1 {
            return Vec::new();
        }
        self.members.iter().filter(|m| contains(&self.base_members, m)).cloned().collect()
    }

    /// Base members that must hand over their records before this roster settles.
    pub fn sources(&self) -> impl Iterator<Item = &Member> {
        let stays = |m: &&Member| self.contains(m) || contains(&self.leaving, m);
        self.base_members.iter().filter(stays)
    }

    /// Base members that were removed without a handover.
    pub fn lost(&self) -> impl Iterator<Item = &Member> {
        let removed = |m: &&Member| !self.contains(m) && !contains(&self.leaving, m);
        self.base_members.iter().filter(removed)
    }

    /// Whether this change makes `to` the home of a key.
    pub fn moves_key(&self, id: &TaskId, to: &Member) -> bool {
        let is_home = |list| home(list, id).is_some_and(|h: &Member| h.same_incarnation(to));
        is_home(&self.members) && !is_home(&self.base_members)
    }

    /// Whether this member becomes the home of keys that had another home.
    pub fn gains_keys(&self, member: &Member) -> bool {
        let named = |name: &Name| self.members.iter().any(|m| m.name == *name);
        !contains(&self.base_members, member) || self.base_members.iter().any(|m| !named(&m.name))
    }
}

impl Homes for Roster {
    fn me(&self) -> Option<Member> {
        None
    }

    fn home(&self, id: &TaskId) -> Option<Member> {
        home(&self.members, id).cloned()
    }

    /// Always `NotHome`: a document alone grants no permit.
    fn tenure(&self, _: &TaskId, _: Instant) -> Tenure {
        Tenure::NotHome { epoch: self.epoch }
    }

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn members(&self) -> Vec<Member> {
        self.executors()
    }
}

/// Whether a list contains this incarnation of a member.
pub(crate) fn contains(list: &[Member], member: &Member) -> bool {
    list.iter().any(|m| m.same_incarnation(member))
}
