use serde::{Deserialize, Serialize};

/// Body of a task: how the stand-in runs and answers it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Work {
    /// run time at speed 1, milliseconds
    pub run_ms: f64,
    /// end in an error
    pub fail: bool,
    /// cut the answer short of its stated length
    pub cut: bool,
    /// cut a chunked answer short
    pub cut_chunks: bool,
    /// pad the answer to this size, bytes
    pub answer_bytes: usize,
}

/// Behaviour of the whole server, set through `/admin/mode`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// fail every task at once
    pub fail_all: bool,
}
