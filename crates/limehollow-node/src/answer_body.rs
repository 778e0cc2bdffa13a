//! Follows the body of an endpoint's answer: its framing, and the position in a stream of events.

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method, StatusCode, header};
use hyper::body::Frame;
use limehollow::answer_end::{Completeness, EventScanner, Framing, Progress, completeness};

const EVENT_STREAM: &str = "text/event-stream";

/// The framing of a body, and how far it has come.
#[derive(Clone, Debug)]
pub struct AnswerBody {
    framing: Framing,
    /// `None` if the body isn't a stream of events.
    scanner: Option<EventScanner>,
}

impl AnswerBody {
    /// Starts to follow the body that comes with a head, in answer to a request with this method.
    #[must_use]
    pub fn new(method: &Method, head: &Parts, is_stream: bool) -> Self {
        let is_stream = is_stream && may_hold_events(&head.headers);
        Self {
            framing: framing(method, head),
            scanner: is_stream.then(EventScanner::default),
        }
    }

    /// Adds a piece of the body.
    pub fn push(&mut self, frame: &Frame<Bytes>) {
        if let (Some(s), Some(piece)) = (&mut self.scanner, frame.data_ref()) {
            s.push(piece);
        }
    }

    /// Returns how the body is framed.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns how far the body has come.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let scanner = self.scanner.as_ref();
        scanner.map_or(Progress::NotEvents, EventScanner::progress)
    }

    /// Returns how many bytes have come of an event that has begun and not ended.
    #[must_use]
    pub fn event_bytes(&self) -> u64 {
        self.scanner.as_ref().map_or(0, EventScanner::event_bytes)
    }

    /// Returns what the orderly end of the body shows.
    #[must_use]
    pub fn completeness(&self) -> Completeness {
        completeness(self.framing, self.progress())
    }
}

/// Returns the framing of an answer's body ([RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3)).
fn framing(method: &Method, head: &Parts) -> Framing {
    let has_no_body = *method == Method::HEAD
        || head.status.is_informational()
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    if has_no_body {
        Framing::Length
    } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
        // An answer with another last coding than chunks is refused by the HTTP library, or ends with its connection.
        if is_chunked(&head.headers) {
            Framing::Chunks
        } else {
            Framing::UntilClose
        }
    } else if head.headers.contains_key(header::CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::UntilClose
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = last.and_then(|v| v.to_str().ok());
    let last = codings.and_then(|v| v.rsplit(',').next());
    last.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns `true` unless the head says that the body is of another type than an event stream.
fn may_hold_events(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|v| {
        let essence = v.to_str().ok().and_then(|v| v.split(';').next());
        essence.is_some_and(|e| e.trim().eq_ignore_ascii_case(EVENT_STREAM))
    })
}
