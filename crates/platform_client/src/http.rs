use std::time::Duration;

use awc::{Client, ClientResponse, http::StatusCode};
use base::Event;
use futures::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;

use crate::{
    Elements, Error, KeyedRow, ObjectStore, Result, Row, Table, Version, elements::readable_text,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 4 << 20;

/// Client of the platform's HTTP protocol.
pub struct HttpPlatform {
    client: Client,
    url: String,
}

impl HttpPlatform {
    pub fn new(url: &str) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    async fn read_row(&self, key: &str) -> Result<Row> {
        let url = format!("{}/tables/egret/{key}", self.url);
        let mut res = self.client.get(url).send().await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => parse_row(&mut res).await,
            StatusCode::NOT_FOUND => Ok(Row::default()),
            status => Err(Error::Unavailable(status.to_string())),
        }
    }

    async fn list_rows(&self, prefix: &str) -> Result<Vec<KeyedRow>> {
        let url = format!("{}/tables/egret?prefix={prefix}", self.url);
        let mut res = self.client.get(url).send().await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => {
                let body = read_body(&mut res).await?;
                let text = readable_text(&body);
                let rows = parse::<Elements<'_>>(&text)?;
                Ok(rows.decode(|reason| Event::RowUnreadable.note(&[("why", (&*reason).into())])))
            }
            status => Err(Error::Unavailable(status.to_string())),
        }
    }

    async fn write_row(&self, key: &str, expected: Version, value: String) -> Result<Version> {
        let url = format!("{}/tables/egret/{key}", self.url);
        let req = self.client.put(url).insert_header(("if-match", expected.to_string()));
        let mut res = req.send_body(value).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => Ok(parse_row(&mut res).await?.version),
            StatusCode::CONFLICT => Err(Error::Conflict(parse_row(&mut res).await?)),
            status => Err(Error::Unavailable(status.to_string())),
        }
    }

    async fn read_object(&self, name: &str) -> Result<Option<String>> {
        let url = format!("{}/objects/{name}", self.url);
        let mut res = self.client.get(url).send().await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => Ok(Some(read_text(&mut res).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Unavailable(status.to_string())),
        }
    }

    async fn write_object(&self, name: &str, value: String) -> Result<()> {
        let url = format!("{}/objects/{name}", self.url);
        let res = self.client.put(url).send_body(value).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => Ok(()),
            status => Err(Error::Unavailable(status.to_string())),
        }
    }
}

impl Table for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Row>> {
        self.read_row(key).boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Vec<KeyedRow>>> {
        self.list_rows(prefix).boxed_local()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: String,
    ) -> LocalBoxFuture<'a, Result<Version>> {
        self.write_row(key, expected, value).boxed_local()
    }
}

impl ObjectStore for HttpPlatform {
    fn load<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>> {
        self.read_object(name).boxed_local()
    }

    fn store<'a>(&'a self, name: &'a str, value: String) -> LocalBoxFuture<'a, Result<()>> {
        self.write_object(name, value).boxed_local()
    }
}

fn unavailable(error: awc::error::SendRequestError) -> Error {
    Error::Unavailable(error.to_string())
}

async fn parse_row<S>(res: &mut ClientResponse<S>) -> Result<Row>
where
    S: futures::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    parse(&read_text(res).await?)
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T> {
    serde_json::from_str(text).map_err(|e| Error::Malformed(e.to_string()))
}

async fn read_text<S>(res: &mut ClientResponse<S>) -> Result<String>
where
    S: futures::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = read_body(res).await?;
    String::from_utf8(body.to_vec()).map_err(|e| Error::Malformed(e.to_string()))
}

async fn read_body<S>(res: &mut ClientResponse<S>) -> Result<bytes::Bytes>
where
    S: futures::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = res.body().limit(MAX_BODY_BYTES).await;
    body.map_err(|e| Error::Unavailable(e.to_string()))
}
