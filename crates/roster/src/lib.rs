//! Who is home for a key: the roster of a service, its permits and takeovers.
