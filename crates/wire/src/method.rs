use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! methods {
    ($($name:ident = $text:literal)*) => {
        /// RPC method that one process of the fleet calls on another.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Method {
            $($name,)*
        }

        impl Method {
            pub const ALL: &[Method] = &[$(Method::$name,)*];

            pub fn as_str(self) -> &'static str {
                match self {
                    $(Method::$name => $text,)*
                }
            }
        }
    };
}

methods! {
    Greet = "greet"
    Run = "run"
    Attach = "attach"
    Status = "status"
    Cancel = "cancel"
    Claim = "claim"
    Release = "release"
    Bar = "bar"
    Beat = "beat"
    Collect = "collect"
    Drain = "drain"
    Join = "join"
    Meet = "meet"
    Place = "place"
    Follow = "follow"
    Stop = "stop"
}

static COUNTS: [AtomicU64; Method::ALL.len()] = [const { AtomicU64::new(0) }; Method::ALL.len()];

impl Method {
    /// Counts an outgoing call.
    pub fn record_call(self) {
        COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Outgoing calls since the process started.
    pub fn calls(self) -> u64 {
        COUNTS[self as usize].load(Ordering::Relaxed)
    }
}
