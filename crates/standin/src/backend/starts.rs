use serde::{Deserialize, Serialize};

/// Start of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    pub team: String,
    pub key: String,
    pub index: u32,
    /// unix milliseconds
    pub at_ms: u64,
}

/// Log of all starts, and the current and highest number of running tasks.
#[derive(Default)]
pub struct Starts {
    pub log: Vec<Start>,
    pub running: usize,
    pub most: usize,
}

impl Starts {
    pub fn begin(&mut self, start: Start) {
        self.log.push(start);
        self.running += 1;
        self.most = self.most.max(self.running);
    }

    pub fn end(&mut self) {
        self.running -= 1;
    }
}
