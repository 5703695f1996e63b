use actix_web::{
    Error as WebError, HttpResponse, ResponseError,
    body::{EitherBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::StatusCode,
    middleware::Next,
    web::Data,
};

use super::error::{Error, RefusalCode};
use crate::app::SharedState;

/// Renders every refusal as JSON, including those of the HTTP library, and counts
/// it.
pub async fn render_refusals<B: MessageBody>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B>>, WebError> {
    let shared = req.app_data::<Data<SharedState>>().cloned();
    let request = format!("{} {}", req.method(), req.path());
    let res = next.call(req).await?;
    let code = res.response().extensions().get::<RefusalCode>().map(|code| code.0);
    let plain = code.is_none() && res.status().is_client_error();
    let refusal = plain.then(|| from_response(res.response(), request));
    let code = refusal.as_ref().map(Error::code).or(code);
    if let (Some(code), Some(shared)) = (code, shared) {
        shared.metrics.record_refusal(code);
    }
    match refusal {
        Some(error) => Ok(res.into_response(error.error_response()).map_into_right_body()),
        None => Ok(res.map_into_left_body()),
    }
}

fn from_response<B>(res: &HttpResponse<B>, request: String) -> Error {
    match res.status() {
        StatusCode::NOT_FOUND => Error::UnknownPath(request),
        StatusCode::METHOD_NOT_ALLOWED => Error::WrongMethod(request),
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        status => Error::Malformed(res.error().map_or(status.to_string(), |e| e.to_string())),
    }
}
