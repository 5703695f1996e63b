use std::{future::Future, pin::Pin, time::Duration};

use actix_web::{FromRequest, HttpRequest, dev::Payload, web};
use tokio::time::timeout;

use super::error::Error;

/// Longest time that a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Complete body of a request, within the limits of size and time.
pub struct Body(pub web::Bytes);

impl FromRequest for Body {
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self, Error>>>>;

    fn from_request(http: &HttpRequest, payload: &mut Payload) -> Self::Future {
        let read = web::Bytes::from_request(http, payload);
        Box::pin(async move {
            match timeout(BODY_TIMEOUT, read).await {
                Ok(Ok(bytes)) => Ok(Self(bytes)),
                Ok(Err(e)) => Err(from_actix(&e)),
                Err(_) => Err(Error::SlowBody),
            }
        })
    }
}

fn from_actix(error: &actix_web::Error) -> Error {
    let status = error.as_response_error().status_code();
    if status == actix_web::http::StatusCode::PAYLOAD_TOO_LARGE {
        return Error::TooLarge;
    }
    Error::Malformed(error.to_string())
}
