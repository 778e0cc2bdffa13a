//! Reads the bodies of requests, and refuses those that are too large, too slow or find no memory.

use crate::answer::{Outgoing, Reason, plain, refuse};
use crate::edge::Protocol;
use crate::metrics::Metrics;
use crate::retry_delay::{DEFAULT_RETRY_DELAY, with_jitter};
use crate::site::Site;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use limehollow_edge::request_memory::{Upload, UploadError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How much of a refused body is read so that the caller gets the refusal: closing a connection with unread bytes resets
/// it.
const MAX_DISCARDED: usize = 1 << 20;
/// How long a refused body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// The maximum number of refused bodies that are read at once.
pub(crate) const MAX_DISCARDS: usize = 64;

/// Why a body wasn't read to its end.
#[derive(Debug)]
enum ReadError {
    TooLarge,
    BrokenOff(hyper::Error),
    Memory(UploadError),
}

impl From<UploadError> for ReadError {
    fn from(e: UploadError) -> Self {
        Self::Memory(e)
    }
}

/// Reads a request's whole body.
///
/// # Errors
///
/// Returns the answer for a body that is too large, breaks off, arrives too slowly or finds no memory.
pub(crate) async fn read<P>(
    site: &Site<P>,
    id: &str,
    mut body: Incoming,
    limit: usize,
    expiry: Instant,
) -> Result<Bytes, Response<Outgoing<P>>>
where
    P: Protocol,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = read_to_end(site, &mut body, limit);
    let e = match site.clock.timeout_at(expiry, reading).await {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(e)) => Some(e),
        Err(_elapsed) => None,
    };
    discard(site, body);
    let mut res = refusal(site, id, e);
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    Err(res)
}

/// Builds the answer to a request whose body wasn't read; `None` stands for a body that took too long.
fn refusal<P>(site: &Site<P>, id: &str, e: Option<ReadError>) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    let (status, text) = match e {
        Some(ReadError::TooLarge) => {
            Metrics::count(&site.metrics.requests, "too large");
            (StatusCode::PAYLOAD_TOO_LARGE, "body too large\n")
        }
        Some(ReadError::BrokenOff(e)) => {
            tracing::debug!(id, error = %e, "the request's body broke off");
            (StatusCode::BAD_REQUEST, "body broke off\n")
        }
        Some(ReadError::Memory(e)) => {
            let reason = match e {
                UploadError::Full => Reason::NoMemory,
                UploadError::Displaced => Reason::Displaced,
            };
            return refuse(site, id, reason, with_jitter(DEFAULT_RETRY_DELAY));
        }
        None => (StatusCode::REQUEST_TIMEOUT, "body too slow\n"),
    };
    plain(site, status, id, text)
}

async fn read_to_end<P>(
    site: &Site<P>,
    body: &mut Incoming,
    limit: usize,
) -> Result<Bytes, ReadError>
where
    P: Protocol,
{
    let announced = body.size_hint().exact();
    let max = announced.map_or(limit, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if max > limit {
        return Err(ReadError::TooLarge);
    }
    let upload = site.request_memory.begin(site.now());
    let bound = site.settings.load().request_memory(limit);
    let read = async {
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame.map_err(ReadError::BrokenOff)?.into_data() else {
                continue;
            };
            len += piece.len();
            if len > limit {
                return Err(ReadError::TooLarge);
            }
            upload.push(&piece, max, bound, || site.now())?;
        }
        Ok(())
    };
    displaceable(&upload, read).await?;
    Ok(upload.finish()?)
}

/// Reads until the body has ended or has to give way.
async fn displaceable<F>(upload: &Upload, read: F) -> Result<(), ReadError>
where
    F: Future<Output = Result<(), ReadError>>,
{
    tokio::select! {
        biased;
        read = read => read,
        () = upload.displaced() => Err(UploadError::Displaced.into()),
    }
}

/// Reads a part of what is left of a refused body and drops it, while the refusal is sent.
fn discard<P>(site: &Site<P>, mut body: Incoming)
where
    P: Protocol,
{
    if body.is_end_stream() {
        return;
    }
    let Ok(permit) = Arc::clone(&site.discards).try_acquire_owned() else {
        // The refusal may not arrive, which is still better than more work for callers that were refused.
        return;
    };
    tokio::spawn(async move {
        let _permit = permit;
        let mut left = MAX_DISCARDED;
        let read = async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                left = left.saturating_sub(bytes);
                if left == 0 {
                    return;
                }
            }
        };
        // After that time the connection is closed with what is unread.
        let _elapsed = timeout(DISCARD_TIME, read).await;
    });
}
