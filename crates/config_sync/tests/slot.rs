//! Admission of transfers, one at a time.

use std::time::Duration;

use base::{Name, Uptime};
use config_sync::{SlotSettings, TransferSlot};

const SETTINGS: SlotSettings =
    SlotSettings { max_duration: Duration::from_secs(2), pause_factor: 2 };

fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn names() -> [Name; 2] {
    ["a".into(), "b".into()]
}

#[test]
fn a_second_peer_waits_for_the_first_transfer_and_a_pause() {
    let ([a, b], mut slot) = (names(), TransferSlot::new(SETTINGS));
    assert!(slot.acquire(&a, at(1000)));
    assert!(!slot.acquire(&b, at(1100)));
    slot.release(&b, at(1150));
    assert!(!slot.acquire(&b, at(1160)), "only the peer itself ends its transfer");
    slot.release(&a, at(1200));
    assert!(!slot.acquire(&b, at(1599)), "a pause of twice the transfer");
    assert!(slot.acquire(&b, at(1600)));
}

#[test]
fn a_transfer_that_never_ends_does_not_keep_others_waiting() {
    let ([a, b], mut slot) = (names(), TransferSlot::new(SETTINGS));
    assert!(slot.acquire(&a, at(0)));
    assert!(!slot.acquire(&b, at(1999)));
    assert!(slot.acquire(&b, at(2000)));
    slot.release(&a, at(2100));
    assert!(!slot.acquire(&a, at(2200)), "the transfer of the second is still in progress");
}

#[test]
fn a_peer_that_asks_again_is_admitted() {
    let ([a, b], mut slot) = (names(), TransferSlot::new(SETTINGS));
    assert!(slot.acquire(&a, at(0)));
    assert!(slot.acquire(&a, at(500)));
    assert!(!slot.acquire(&b, at(2400)), "its time begins anew");
}
