use base::{Digest, Member, TaskId};
use claim::{Claim, ClaimState, Grant, Holder, KeyInfo, Record};

use crate::{
    Error, Result,
    egret_capnp::{claim as wire_claim, grant, member, record},
    info::read_address,
    task::{read_id, write_id},
    text::read_name,
};

pub fn write_claim(mut to: wire_claim::Builder<'_>, claim: &Claim) {
    write_id(to.reborrow().init_id(), &claim.id);
    to.set_digest_high(claim.digest.high());
    to.set_digest_low(claim.digest.low());
    to.set_issued_ms(claim.issued_ms.unwrap_or(0));
    to.set_started_ms(claim.received_ms);
    to.set_count(claim.task_count);
    to.set_ask(claim.sequence);
}

pub fn read_claim(from: wire_claim::Reader<'_>) -> Result<Claim> {
    let issued = from.get_issued_ms();
    Ok(Claim {
        id: read_id(from.get_id()?)?,
        digest: Digest::from_parts(from.get_digest_high(), from.get_digest_low()),
        issued_ms: (issued > 0).then_some(issued),
        received_ms: from.get_started_ms(),
        task_count: from.get_count(),
        sequence: from.get_ask(),
    })
}

pub fn write_grant(mut to: grant::Builder<'_>, found: &KeyInfo) {
    to.set_count(found.task_count.unwrap_or(0));
    match &found.grant {
        Grant::Granted => to.set_granted(()),
        Grant::Held(holder) => {
            to.set_incarnation(holder.incarnation);
            to.set_held(&*holder.name);
        }
        Grant::Free => to.set_free(()),
        Grant::Barred => to.set_barred(()),
        Grant::Conflict => to.set_conflict(()),
        Grant::NotHome { epoch } => to.set_not_home(*epoch),
        Grant::Unknown(reason) => to.set_unknown(&**reason),
        Grant::Full => to.set_full(()),
    }
}

pub fn read_grant(from: grant::Reader<'_>) -> Result<KeyInfo> {
    let grant = match from.which().map_err(|e| Error::Malformed(e.to_string()))? {
        grant::Granted(()) => Grant::Granted,
        grant::Held(name) => {
            Grant::Held(Holder { name: read_name(name)?, incarnation: from.get_incarnation() })
        }
        grant::Free(()) => Grant::Free,
        grant::Barred(()) => Grant::Barred,
        grant::Conflict(()) => Grant::Conflict,
        grant::NotHome(epoch) => Grant::NotHome { epoch },
        grant::Unknown(reason) => Grant::Unknown(read_name(reason)?),
        grant::Full(()) => Grant::Full,
    };
    let count = from.get_count();
    Ok(KeyInfo { grant, task_count: (count > 0).then_some(count) })
}

pub fn write_record(mut to: record::Builder<'_>, it: &Record) {
    write_claim(to.reborrow().init_claim(), &it.claim);
    match &it.state {
        ClaimState::Held(holder) => {
            to.set_executor(&*holder.name);
            to.set_incarnation(holder.incarnation);
        }
        ClaimState::Barred(at) => to.set_barred_ms(*at),
    }
}

pub fn read_record(from: record::Reader<'_>) -> Result<Record> {
    let barred = from.get_barred_ms();
    let state = if barred > 0 {
        ClaimState::Barred(barred)
    } else {
        let (name, incarnation) = (read_name(from.get_executor())?, from.get_incarnation());
        ClaimState::Held(Holder { name, incarnation })
    };
    Ok(Record { claim: read_claim(from.get_claim()?)?, state })
}

pub fn write_member(mut to: member::Builder<'_>, member: &Member) {
    to.set_name(&*member.name);
    to.set_incarnation(member.incarnation);
    to.set_address(member.address.to_string().as_str());
    to.set_centre(&*member.centre);
    to.set_rack(&*member.rack);
}

pub fn read_member(from: member::Reader<'_>) -> Result<Member> {
    Ok(Member {
        name: read_name(from.get_name())?,
        incarnation: from.get_incarnation(),
        address: read_address(&read_name(from.get_address())?)?,
        centre: read_name(from.get_centre())?,
        rack: read_name(from.get_rack())?,
    })
}

pub fn read_ids(
    from: capnp::struct_list::Reader<'_, crate::egret_capnp::task_id::Owned>,
) -> Result<Vec<TaskId>> {
    from.iter().map(read_id).collect()
}
