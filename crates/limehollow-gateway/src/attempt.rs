//! One attempt at one endpoint.

use crate::request::{ParsedRequest, REQUEST_ID, forwarded_headers, header_value};
use crate::shared::Shared;
use bytes::{Bytes, BytesMut};
use limehollow::retry::Repeat;
use limehollow::routing::Target;
use limehollow::verdict::Failure;
use limehollow_wire::engine::{NOT_RUN, PRIORITY, RESUME_FROM};
use poem::http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

/// The largest answer that is read whole, in bytes.
pub const MAX_ANSWER: usize = 16 << 20;

/// The head of an endpoint's answer; its body is still to be read.
#[derive(Debug)]
pub struct AnswerHead {
    /// The status code.
    pub status: StatusCode,
    /// The headers to pass on.
    pub headers: HeaderMap,
    /// The rest of the answer.
    pub body: reqwest::Response,
    /// When the head came.
    pub at: Instant,
}

/// Sends a request to an endpoint and reads the head of its answer.
///
/// `resume` is the number of tokens that were delivered before.
///
/// # Errors
///
/// What happened, from which the verdict follows.
pub async fn send_request(
    shared: &Shared,
    request: &ParsedRequest,
    target: &Target,
    resume: u32,
) -> Result<AnswerHead, Failure> {
    let client = match request.repeat {
        Repeat::Allowed => &shared.client,
        Repeat::Never => &shared.once_client,
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

/// Refuses an answer that names another request: whatever came in between, it isn't ours to give.
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
/// [`Failure::Broken`] if it ends early or is too large, [`Failure::Deadline`] if it comes too late.
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
