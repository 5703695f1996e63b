//! Changes of the roster; each is one compare-and-set of the row.

use base::{Member, Name};

use crate::{
    ConfirmedLoss, Error, Result, Roster, Rule, Settings, SettledChange, document::contains,
};

/// A change of the members.
#[derive(Clone, Debug, Default)]
pub struct Proposal {
    pub joins: Option<Member>,
    pub leaves: Option<Member>,
    pub lost: Vec<Member>,
}

/// What is known of the sole member of a roster that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoleMember {
    /// it may have granted claims to itself while it was alone
    Granted,
    /// it granted none, and grants none before this change is settled
    NoGrants,
}

impl Roster {
    /// The first roster, or the first one after an empty one.
    pub fn bootstrap(&self, founder: &Member) -> Self {
        Self {
            epoch: self.epoch + 1,
            members: vec![founder.clone()],
            settled: true,
            base_epoch: self.epoch,
            revision: self.revision + 1,
            ..self.clone()
        }
    }

    /// The next roster. It replaces one that never settled: the members of that
    /// one stay, and the last settled roster remains the one to take over from.
    pub fn propose(&self, proposal: &Proposal, settings: &Settings) -> Self {
        let base = if self.settled { &self.members } else { &self.base_members };
        let base_epoch = if self.settled { self.epoch } else { self.base_epoch };
        let stays = |m: &&Member| {
            let replaced = proposal.joins.as_ref().is_some_and(|j| j.name == m.name);
            !replaced && !contains(&proposal.lost, m)
        };
        let leaves = |m: &&Member| proposal.leaves.as_ref().is_some_and(|l| l.same_incarnation(m));
        let kept = self.members.iter().filter(|m| stays(m) && !leaves(m));
        let mut members: Vec<_> = kept.cloned().collect();
        members.extend(proposal.joins.clone());
        let kept = self.leaving.iter().filter(stays);
        let mut leaving: Vec<_> = kept.cloned().collect();
        leaving.extend(proposal.leaves.clone().filter(|l| contains(base, l)));
        let record_losses = if settings.is_enabled(Rule::RecordLossKept) {
            self.record_losses.clone()
        } else {
            Vec::new()
        };
        Self {
            epoch: self.epoch + 1,
            members,
            settled: false,
            base_epoch,
            base_members: base.clone(),
            leaving,
            record_losses,
            revision: self.revision + 1,
            ..self.clone()
        }
    }

    /// This roster as settled at `wall_ms`: every new home holds the records.
    pub fn settle(&self, wall_ms: u64, sole_member: SoleMember, settings: &Settings) -> Self {
        let keep_ms = (settings.retention + 2 * settings.clock_skew).as_millis() as u64;
        let recent = |at_ms: u64| at_ms + keep_ms > wall_ms;
        let mut record_losses: Vec<_> =
            self.record_losses.iter().filter(|m| recent(m.at_ms)).copied().collect();
        if self.may_lose_records(recent, settings) {
            record_losses.push(SettledChange { epoch: self.epoch, at_ms: wall_ms });
        }
        let mut member_losses: Vec<_> =
            self.member_losses.iter().filter(|m| recent(m.at_ms)).copied().collect();
        if self.lost().count() > 0 {
            member_losses.push(SettledChange { epoch: self.epoch, at_ms: wall_ms });
        }
        let copy_lost_ms =
            if self.loses_copy(sole_member, settings) { Some(wall_ms) } else { self.copy_lost_ms };
        Self {
            settled: true,
            base_members: Vec::new(),
            leaving: Vec::new(),
            record_losses,
            member_losses,
            copy_lost_ms,
            confirmed_loss: None,
            revision: self.revision + 1,
            ..self.clone()
        }
    }

    /// Records an operator's confirmation that members are lost for good, so
    /// that the others may go on without their promises.
    ///
    /// # Errors
    /// `NoReason` if the reason is blank, `NotListed` for a name that is no member.
    pub fn confirm_loss(
        &self,
        lost: &[Name],
        author: &str,
        reason: &str,
        wall_ms: u64,
    ) -> Result<Self> {
        if reason.trim().is_empty() {
            return Err(Error::NoReason);
        }
        let listed = if self.settled { &self.members } else { &self.base_members };
        let find_member = |name: &Name| listed.iter().find(|m| m.name == *name).cloned();
        let member = |name: &Name| find_member(name).ok_or_else(|| Error::NotListed(name.clone()));
        let lost = lost.iter().map(member).collect::<Result<_>>()?;
        let confirmed = ConfirmedLoss {
            lost,
            author: author.into(),
            reason: reason.to_owned(),
            at_ms: wall_ms,
        };
        Ok(Self { confirmed_loss: Some(confirmed), revision: self.revision + 1, ..self.clone() })
    }

    /// Whether both copies of a record may be lost: the executor's and the home's.
    fn may_lose_records(&self, recent: impl Fn(u64) -> bool, settings: &Settings) -> bool {
        let lost = self.lost().count();
        let lost_before =
            self.copy_lost_ms.is_some_and(recent) && settings.is_enabled(Rule::RecordLoss);
        let sole = self.base_members.len() == 1;
        let ends = self.members.is_empty();
        ends || lost > 1 || (lost == 1 && (lost_before || sole))
    }

    /// Whether some records lose one of their two copies.
    fn loses_copy(&self, sole_member: SoleMember, settings: &Settings) -> bool {
        let left = !self.leaving.is_empty() && settings.is_enabled(Rule::PlannedLeave);
        let granted = sole_member == SoleMember::Granted && settings.is_enabled(Rule::SoleMember);
        let sole = self.base_members.len() == 1 && granted;
        self.lost().count() > 0 || left || sole
    }
}
