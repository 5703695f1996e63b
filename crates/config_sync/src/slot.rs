use std::time::Duration;

use base::{Name, Uptime};

/// Limits of the documents that a process sends or requests.
#[derive(Clone, Copy, Debug)]
pub struct SlotSettings {
    /// after this time a transfer no longer keeps others waiting
    pub max_duration: Duration,
    /// pause after a transfer, as a multiple of its duration; leaves bandwidth to
    /// heartbeats and tasks
    pub pause_factor: u32,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self { max_duration: Duration::from_secs(2), pause_factor: 1 }
    }
}

/// Admits one transfer at a time.
#[derive(Debug, Default)]
pub struct TransferSlot {
    settings: SlotSettings,
    current: Option<Transfer>,
    /// end of the pause after the last transfer
    free_at: Uptime,
}

#[derive(Debug)]
struct Transfer {
    peer: Name,
    since: Uptime,
}

impl TransferSlot {
    pub fn new(settings: SlotSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Admits a transfer with a peer, unless another one is in progress. A peer that
    /// asks again has lost its transfer.
    pub fn acquire(&mut self, peer: &Name, now: Uptime) -> bool {
        let is_free = match &self.current {
            Some(t) => t.peer == *peer || now >= t.since + self.settings.max_duration,
            None => now >= self.free_at,
        };
        if is_free {
            self.current = Some(Transfer { peer: peer.clone(), since: now });
        }
        is_free
    }

    /// Ends the transfer with a peer.
    pub fn release(&mut self, peer: &Name, now: Uptime) {
        let Some(transfer) = self.current.take_if(|t| t.peer == *peer) else { return };
        let duration = now.saturating_sub(transfer.since).min(self.settings.max_duration);
        self.free_at = now + duration * self.settings.pause_factor;
    }
}
