use std::time::Instant;

use base::{Member, Name, TaskId};
use claim::Tenure;
use serde::{Deserialize, Serialize};

use crate::{Error, Homes, Result, home};

/// The roster of a service, as its row in the platform's table holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// grows by one with every change of the members
    pub epoch: u64,
    pub members: Vec<Member>,
    /// every new home holds the records of its keys
    pub settled: bool,
    /// the settled roster that this one replaces
    pub base_epoch: u64,
    /// its members, while this one is not settled
    #[serde(rename = "base")]
    pub base_members: Vec<Member>,
    /// members of `base` that leave as planned and hand over first
    pub leaving: Vec<Member>,
    /// keys issued before may have run with nobody left who remembers
    #[serde(rename = "marks")]
    pub record_losses: Vec<SettledChange>,
    /// changes that followed a loss; what the lost had barred is forgotten
    #[serde(rename = "losses")]
    pub member_losses: Vec<SettledChange>,
    /// when the records of a member last went away, unix milliseconds
    #[serde(rename = "thinned_ms")]
    pub copy_lost_ms: Option<u64>,
    /// losses that an operator vouches for
    #[serde(rename = "confirmed")]
    pub confirmed_loss: Option<ConfirmedLoss>,
    /// counts the writes of the row
    #[serde(rename = "change")]
    pub revision: u64,
}

/// A change, and when it settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettledChange {
    pub epoch: u64,
    /// unix milliseconds
    pub at_ms: u64,
}

/// An operator's word that members are lost for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmedLoss {
    pub lost: Vec<Member>,
    pub author: Name,
    /// what the next person on duty reads
    pub reason: String,
    /// unix milliseconds
    pub at_ms: u64,
}

impl Roster {
    /// Row of the platform's table that holds the roster of a service.
    pub fn row_key(service: &str) -> String {
        format!("roster/{service}")
    }

    /// The document as the row and messages carry it.
    pub fn to_text(&self) -> String {
        // no field of it can fail to be written
        serde_json::to_string(self).unwrap_or_default()
    }

    /// # Errors
    /// When the text is no such document.
    pub fn from_text(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Whether this life of this member is listed.
    pub fn contains(&self, member: &Member) -> bool {
        find(&self.members, member)
    }

    /// Members that may be granted claims: those of a settled roster.
    pub fn executors(&self) -> Vec<Member> {
        if self.settled {
            return self.members.clone();
        }
        // a home that was alone grants nothing until the others are in
        if self.base_members.len() == 1 {
            return Vec::new();
        }
        self.members.iter().filter(|m| find(&self.base_members, m)).cloned().collect()
    }

    /// Members that must hand over their records before this roster settles.
    pub fn sources(&self) -> impl Iterator<Item = &Member> {
        let stays = |m: &&Member| self.contains(m) || find(&self.leaving, m);
        self.base_members.iter().filter(stays)
    }

    /// Members of `base` that are gone without a handover.
    pub fn lost(&self) -> impl Iterator<Item = &Member> {
        let gone = |m: &&Member| !self.contains(m) && !find(&self.leaving, m);
        self.base_members.iter().filter(gone)
    }

    /// Whether this change makes another member the home of a key.
    pub fn moves_key(&self, id: &TaskId, to: &Member) -> bool {
        let is_home = |list| home(list, id).is_some_and(|h: &Member| h.same_incarnation(to));
        is_home(&self.members) && !is_home(&self.base_members)
    }

    /// Whether this member becomes home of keys that another one held.
    pub fn gains_keys(&self, member: &Member) -> bool {
        let named = |name: &Name| self.members.iter().any(|m| m.name == *name);
        !find(&self.base_members, member) || self.base_members.iter().any(|m| !named(&m.name))
    }
}

impl Homes for Roster {
    fn me(&self) -> Option<Member> {
        None
    }

    fn home(&self, id: &TaskId) -> Option<Member> {
        home(&self.members, id).cloned()
    }

    /// A document alone gives no right to act.
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

/// Whether a list has this life of this member.
pub(crate) fn find(list: &[Member], member: &Member) -> bool {
    list.iter().any(|m| m.same_incarnation(member))
}
