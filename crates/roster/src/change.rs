//! Changes of the document; each is one compare-and-set of the row.

use base::{Member, Name};

use crate::{Confirmed, Error, Mark, Result, Roster, Rule, Settings, document::find};

/// What a proposal changes.
#[derive(Clone, Debug, Default)]
pub struct Proposal {
    pub joins: Option<Member>,
    pub leaves: Option<Member>,
    pub lost: Vec<Member>,
}

/// What is known of the only member of a roster that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Solo {
    /// it may have granted claims to itself
    Granted,
    /// it granted none, and will not before this change is settled
    Silent,
}

impl Roster {
    /// The first roster, or the first after an empty one.
    pub fn found(&self, founder: &Member) -> Self {
        Self {
            epoch: self.epoch + 1,
            members: vec![founder.clone()],
            settled: true,
            base_epoch: self.epoch,
            change: self.change + 1,
            ..self.clone()
        }
    }

    /// The next roster. One that never settled is replaced: its members stay,
    /// and the roster to take over from remains the last settled one.
    pub fn propose(&self, proposal: &Proposal, settings: &Settings) -> Self {
        let base = if self.settled { &self.members } else { &self.base };
        let base_epoch = if self.settled { self.epoch } else { self.base_epoch };
        let stays = |m: &&Member| {
            let replaced = proposal.joins.as_ref().is_some_and(|j| j.name == m.name);
            !replaced && !find(&proposal.lost, m)
        };
        let leaves = |m: &&Member| proposal.leaves.as_ref().is_some_and(|l| l.same_incarnation(m));
        let kept = self.members.iter().filter(|m| stays(m) && !leaves(m));
        let mut members: Vec<_> = kept.cloned().collect();
        members.extend(proposal.joins.clone());
        let kept = self.leaving.iter().filter(stays);
        let mut leaving: Vec<_> = kept.cloned().collect();
        leaving.extend(proposal.leaves.clone().filter(|l| find(base, l)));
        let marks = if settings.keeps(Rule::MarkInRow) { self.marks.clone() } else { Vec::new() };
        Self {
            epoch: self.epoch + 1,
            members,
            settled: false,
            base_epoch,
            base: base.clone(),
            leaving,
            marks,
            change: self.change + 1,
            ..self.clone()
        }
    }

    /// This roster, settled at a moment: every new home holds the records.
    pub fn settle(&self, wall_ms: u64, solo: Solo, settings: &Settings) -> Self {
        let keep_ms = (settings.retention + 2 * settings.skew).as_millis() as u64;
        let recent = |at_ms: u64| at_ms + keep_ms > wall_ms;
        let mut marks: Vec<_> = self.marks.iter().filter(|m| recent(m.at_ms)).copied().collect();
        if self.may_forget(recent, settings) {
            marks.push(Mark { epoch: self.epoch, at_ms: wall_ms });
        }
        let mut losses: Vec<_> = self.losses.iter().filter(|m| recent(m.at_ms)).copied().collect();
        if self.lost().count() > 0 {
            losses.push(Mark { epoch: self.epoch, at_ms: wall_ms });
        }
        let thinned_ms =
            if self.is_thinned(solo, settings) { Some(wall_ms) } else { self.thinned_ms };
        Self {
            settled: true,
            base: Vec::new(),
            leaving: Vec::new(),
            marks,
            losses,
            thinned_ms,
            confirmed: None,
            change: self.change + 1,
            ..self.clone()
        }
    }

    /// An operator's word that members are lost for good, so that what is left
    /// may go on without their promises.
    ///
    /// # Errors
    /// `NoReason` without a reason, `NotListed` for a name that isn't there.
    pub fn confirm(&self, lost: &[Name], author: &str, reason: &str, wall_ms: u64) -> Result<Self> {
        if reason.trim().is_empty() {
            return Err(Error::NoReason);
        }
        let listed = if self.settled { &self.members } else { &self.base };
        let find = |name: &Name| listed.iter().find(|m| m.name == *name).cloned();
        let member = |name: &Name| find(name).ok_or_else(|| Error::NotListed(name.clone()));
        let lost = lost.iter().map(member).collect::<Result<_>>()?;
        let confirmed =
            Confirmed { lost, author: author.into(), reason: reason.to_owned(), at_ms: wall_ms };
        Ok(Self { confirmed: Some(confirmed), change: self.change + 1, ..self.clone() })
    }

    /// Whether a record may be gone on both sides, executor and home.
    fn may_forget(&self, recent: impl Fn(u64) -> bool, settings: &Settings) -> bool {
        let lost = self.lost().count();
        let follows = self.thinned_ms.is_some_and(recent) && settings.keeps(Rule::Mark);
        let alone = self.base.len() == 1;
        let ends = self.members.is_empty();
        ends || lost > 1 || (lost == 1 && (follows || alone))
    }

    /// Whether records have one copy less than before.
    fn is_thinned(&self, solo: Solo, settings: &Settings) -> bool {
        let left = !self.leaving.is_empty() && settings.keeps(Rule::Leave);
        let granted = solo == Solo::Granted && settings.keeps(Rule::Lone);
        let alone = self.base.len() == 1 && granted;
        self.lost().count() > 0 || left || alone
    }
}
