//! Sends a request to one endpoint and reads the answer: a single attempt.

use crate::request::{ParsedRequest, REQUEST_ID, forwarded_headers, header_value};
use crate::shared::Shared;
use bytes::{Bytes, BytesMut};
use limehollow::retry::Repeat;
use limehollow::routing::Target;
use limehollow::verdict::Failure;
use limehollow_wire::engine::{NOT_RUN, PRIORITY, RESUME_FROM};
use poem::http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

/// The largest answer body that is buffered in full, in bytes.
pub const MAX_ANSWER: usize = 16 << 20;

/// The status and headers of an endpoint's answer whose body has not been read yet.
#[derive(Debug)]
pub struct AnswerHead {
    /// The status code.
    pub status: StatusCode,
    /// The headers to forward to the caller.
    pub headers: HeaderMap,
    /// The response from which the body is read.
    pub body: reqwest::Response,
    /// When the status and headers arrived.
    pub at: Instant,
}

/// Sends a request to an endpoint and reads the status and headers of its answer.
///
/// `resume` is the number of tokens already delivered to the caller by earlier attempts.
///
/// # Errors
///
/// Returns the kind of failure, from which the verdict is derived.
pub async fn send_request(
    shared: &Shared,
    request: &ParsedRequest,
    target: &Target,
    resume: u32,
) -> Result<AnswerHead, Failure> {
    let client = match request.repeat {
        Repeat::Allowed => &shared.client,
        Repeat::Never => &shared.unrepeatable_client,
    };
    let url = format!("http://{}{}", target.address, request.path);
    let mut req = client
        .request(request.method.clone(), url)
        .headers(request.headers.clone())
        .header(REQUEST_ID, header_value(&request.meta.id));
    if let Some(p) = request.meta.priority {
        req = req.header(PRIORITY, p.as_str());
    }
    if resume > 0 {
        req = req.header(RESUME_FROM, resume.to_string());
    }
    let sent = timeout_at(request.meta.deadline, req.body(request.body.clone()).send()).await;
    let res = match sent {
        Err(_) => return Err(Failure::Deadline),
        Ok(Err(e)) if e.is_connect() => return Err(Failure::Connect),
        Ok(Err(_)) => return Err(Failure::Broken),
        Ok(Ok(res)) => res,
    };
    check_identity(&res, request)?;
    if res.headers().contains_key(NOT_RUN) {
        return Err(Failure::Refused);
    }
    let (status, headers) = (res.status(), forwarded_headers(res.headers()));
    Ok(AnswerHead {
        status,
        headers,
        body: res,
        at: Instant::now(),
    })
}

/// Rejects an answer whose request ID is that of another request, since it must not reach this
/// caller.
fn check_identity(res: &reqwest::Response, request: &ParsedRequest) -> Result<(), Failure> {
    match res.headers().get(REQUEST_ID) {
        Some(id) if id.as_bytes() != request.meta.id.as_bytes() => Err(Failure::Broken),
        _ => Ok(()),
    }
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// Returns [`Failure::Broken`] if the body ends early or exceeds [`MAX_ANSWER`], and
/// [`Failure::Deadline`] if it is not complete by the deadline.
pub async fn read_full_answer(
    mut head: AnswerHead,
    deadline: Instant,
) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
    let mut buf = BytesMut::new();
    loop {
        match timeout_at(deadline, head.body.chunk()).await {
            Err(_) => return Err(Failure::Deadline),
            Ok(Err(_)) => return Err(Failure::Broken),
            Ok(Ok(None)) => return Ok((head.status, head.headers, buf.freeze())),
            Ok(Ok(Some(chunk))) if buf.len() + chunk.len() > MAX_ANSWER => {
                let _too_large = chunk;
                return Err(Failure::Broken);
            }
            Ok(Ok(Some(chunk))) => buf.extend_from_slice(&chunk),
        }
    }
}
