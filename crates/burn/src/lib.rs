//! Service-level burn: how fast the error budget of each service is spent.
