use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! methods {
    ($($name:ident = $text:literal)*) => {
        /// A kind of call between two of our processes.
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
    /// Counts a call that goes out.
    pub fn record_call(self) {
        COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls since the process started.
    pub fn calls(self) -> u64 {
        COUNTS[self as usize].load(Ordering::Relaxed)
    }
}
