//! Rendezvous hashing: keys spread evenly, and a change moves only the keys of
//! the member that left.

use base::{Member, TaskId};
use roster::home;

const KEYS: u32 = 10_000;

fn member(i: usize) -> Member {
    Member {
        name: format!("agent-{i}").into(),
        incarnation: 1,
        address: ([10, 0, 0, 1], 7400).into(),
        centre: "c".into(),
        rack: "r".into(),
    }
}

fn owners(members: &[Member]) -> Vec<Member> {
    (0..KEYS)
        .map(|i| TaskId::new("coop".into(), format!("k{}", i / 7).into(), i))
        .map(|id| home(members, &id).expect("there are members").clone())
        .collect()
}

macro_rules! spreads {
    ($($name:ident: $members:literal)*) => {
        $(#[test]
        fn $name() {
            let members: Vec<_> = (0..$members).map(member).collect();
            let owners = owners(&members);
            let fair = KEYS as usize / $members;
            for m in &members {
                let count = owners.iter().filter(|o| *o == m).count();
                assert!(count * 5 > fair * 4 && count * 5 < fair * 6, "{count} of {fair}");
            }
        })*
    };
}

spreads! {
    keys_spread_evenly_over_three: 3
    keys_spread_evenly_over_eleven: 11
}

#[test]
fn only_keys_of_the_lost_member_move() {
    let all: Vec<_> = (0..11).map(member).collect();
    let (before, after) = (owners(&all), owners(&all[1..]));
    assert!(before.iter().zip(&after).all(|(b, a)| b == a || *b == all[0]));
}

#[test]
fn restarted_member_keeps_its_keys() {
    let all: Vec<_> = (0..3).map(member).collect();
    let mut again = all.clone();
    again[1].incarnation = 2;
    let same = |(b, a): (Member, Member)| b.name == a.name;
    assert!(owners(&all).into_iter().zip(owners(&again)).all(same));
}

#[test]
fn empty_roster_has_no_home() {
    assert_eq!(home(&[], &TaskId::new("t".into(), "k".into(), 0)), None);
}
