use std::time::Duration;

use awc::{Client, ClientRequest, SendClientRequest, http::StatusCode};
use base::Token;
use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, Result};

/// Longer than the longest deadline of a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(610);
const MAX_REPLY_BYTES: usize = 64 << 20;

/// HTTP client of an entry, for the callers' and the administration interface.
pub struct Entry {
    client: Client,
    url: String,
    token: String,
}

/// HTTP reply of an entry, whatever its status.
pub struct Reply {
    pub status: StatusCode,
    pub body: String,
}

impl Reply {
    /// Decodes the body of a successful reply.
    ///
    /// # Errors
    /// `Refused`, with the body as text if the status is not a success.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(Error::Refused(format!(
                "the entry replied {}: {}",
                self.status, self.body
            )));
        }
        serde_json::from_str(&self.body)
            .map_err(|e| Error::Refused(format!("the entry's reply can't be decoded: {e}")))
    }
}

impl Entry {
    pub fn new(url: &str, token: &str) -> Self {
        let client = Client::builder().timeout(REPLY_TIMEOUT).finish();
        Self { client, url: url.trim_end_matches('/').to_owned(), token: token.to_owned() }
    }

    /// A client of the entry at another URL, with the same token.
    pub fn at(&self, url: &str) -> Self {
        Self::new(url, &self.token)
    }

    /// # Errors
    /// When the entry can't be reached.
    pub async fn get(&self, path: &str) -> Result<Reply> {
        self.receive(path, self.authorize(self.client.get(self.url(path))).send()).await
    }

    /// # Errors
    /// When the entry can't be reached.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Reply> {
        self.receive(path, self.authorize(self.client.post(self.url(path))).send_json(body)).await
    }

    /// Posts a body that is already encoded as JSON.
    ///
    /// # Errors
    /// When the entry can't be reached.
    pub async fn post_text(&self, path: &str, body: String) -> Result<Reply> {
        let req = self.client.post(self.url(path)).content_type("application/json");
        self.receive(path, req.send_body(body)).await
    }

    fn authorize(&self, req: ClientRequest) -> ClientRequest {
        req.insert_header((Token::HEADER, self.token.as_str()))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    async fn receive(&self, path: &str, req: SendClientRequest) -> Result<Reply> {
        let fail = |e: String| Error::Unreachable(self.url(path), e);
        let mut res = req.await.map_err(|e| fail(e.to_string()))?;
        let body = res.body().limit(MAX_REPLY_BYTES).await.map_err(|e| fail(e.to_string()))?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Reply { status: res.status(), body })
    }
}
