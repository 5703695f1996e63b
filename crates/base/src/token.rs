use std::fmt;

use serde::Deserialize;
use subtle::ConstantTimeEq;

/// Secret shared by all processes of a fleet; never printed.
#[derive(Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// HTTP header that carries the token in operators' requests.
    pub const HEADER: &str = "egret-token";

    pub fn new(secret: &str) -> Self {
        Self(secret.to_owned())
    }

    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.as_bytes().ct_eq(other).into()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
