//! The queue of one agent: what runs next.
