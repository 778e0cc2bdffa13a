//! Parses a caller's request: its headers, and the body of a completion request.

use bytes::Bytes;
use limehollow::admission::Subject;
use limehollow::claim::{KeyHash, key_hash};
use limehollow::intent::Priority;
use limehollow::retry::Repeat;
use poem::http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Request header: how long the caller waits, in milliseconds from the request's arrival.
pub const DEADLINE: &str = "x-limehollow-deadline-ms";
/// Request header: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-limehollow-priority";
/// Request header: `never` if the request may run at most once.
pub const REPEAT: &str = "x-limehollow-repeat";
/// Header of requests and responses: the request ID.
pub const REQUEST_ID: &str = "x-request-id";
/// Request header: the caller's idempotency key for a request that it may send again.
pub const KEY: &str = "idempotency-key";

const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_HEADER_VALUE: usize = 255;
const DEFAULT_TOKENS: u32 = 16;
const MAX_TOKENS: u32 = 1_000_000;
/// The length of the prompt prefix that is hashed for affinity, in bytes. Requests with the same prefix
/// go to the same endpoint if possible, since it has the prefix in its cache.
const AFFINITY_PREFIX_BYTES: usize = 256;

/// Hop-by-hop headers, which apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The reason why a caller's request can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParseRequestError {
    /// A header has an invalid value.
    #[snafu(display("header {name}: {why}"))]
    Header {
        /// The name of the header.
        name: &'static str,
        /// A description of the valid values.
        why: SmolStr,
    },
    /// The body is invalid.
    #[snafu(display("body: {why}"))]
    Body {
        /// A description of the error, with line and column if they are known.
        why: String,
    },
}

/// The metadata from a request's headers, common to completions and services.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The request ID.
    pub id: SmolStr,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The priority, if a header states it.
    pub priority: Option<Priority>,
    /// Whether the caller forbids running the request more than once.
    pub never_repeat: bool,
    /// The caller's idempotency key.
    pub key: Option<SmolStr>,
    /// An identifier of the caller: a hash of its credentials, or its IP address.
    pub caller: SmolStr,
    /// The caller's address on the connection.
    pub remote: Option<SocketAddr>,
}

/// A parsed request.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// The metadata from the headers.
    pub meta: RequestMeta,
    /// The model or service that is requested.
    pub subject: Subject,
    /// The method.
    pub method: Method,
    /// The path and query to send to the endpoint.
    pub path: SmolStr,
    /// The headers to forward to the endpoint.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The maximum number of tokens in the answer.
    pub tokens: u32,
    /// A hash of the content that an endpoint's cache could share with other requests.
    pub affinity: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

impl ParsedRequest {
    /// Returns the hash of the idempotency key together with the caller, subject, method and path that it
    /// belongs to, or `None` if there is no key.
    #[must_use]
    pub fn key_hash(&self) -> Option<KeyHash> {
        let key = self.meta.key.as_ref()?;
        let (kind, name) = match &self.subject {
            Subject::Model(m) => ("model", m),
            Subject::Service(s) => ("service", s),
        };
        let method = self.method.as_str();
        Some(key_hash(&[
            self.meta.caller.as_str(),
            kind,
            name,
            method,
            &self.path,
            key,
        ]))
    }

    /// Returns the value of the `kind` label in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.subject {
            Subject::Model(_) => "completion",
            Subject::Service(_) => "service",
        }
    }
}

/// Returns the request ID from the headers, or a new random one.
///
/// # Errors
///
/// Returns [`ParseRequestError::Header`] if the caller's request ID is invalid.
pub fn request_id(headers: &HeaderMap) -> Result<SmolStr, ParseRequestError> {
    let from_caller = header_text(headers, REQUEST_ID)?;
    Ok(from_caller.unwrap_or_else(|| format_smolstr!("{:032x}", rand::random::<u128>())))
}

/// The limits on how long callers wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// The wait of a request that has no deadline header.
    pub default: Duration,
    /// The longest wait. After it, the idle connection would be closed and the answer lost.
    pub longest: Duration,
}

/// Parses the metadata in the headers.
///
/// # Errors
///
/// Returns [`ParseRequestError::Header`] with the name of the invalid header and its valid values.
pub fn parse_meta(
    headers: &HeaderMap,
    remote: Option<SocketAddr>,
    id: SmolStr,
    wait_limits: &WaitLimits,
) -> Result<RequestMeta, ParseRequestError> {
    let arrived = Instant::now();
    let wait = match header_text(headers, DEADLINE)? {
        None => wait_limits.default,
        Some(s) => Duration::from_millis(parse_number(DEADLINE, &s, MAX_DEADLINE_MS)?),
    };
    let wait = wait.min(wait_limits.longest);
    let priority = match header_text(headers, PRIORITY)? {
        None => None,
        Some(s) => match Priority::parse(&s) {
            Some(p) => Some(p),
            None => {
                return header_error(
                    PRIORITY,
                    format_smolstr!("must be high, normal or low, not {s:?}"),
                );
            }
        },
    };
    let never_repeat = match header_text(headers, REPEAT)?.as_deref() {
        None => false,
        Some("never") => true,
        Some(s) => return header_error(REPEAT, format_smolstr!("must be never, not {s:?}")),
    };
    let key = header_text(headers, KEY)?;
    // Callers are distinguished by their credentials; the hash keeps secrets out of dumps.
    let caller = match headers.get("authorization") {
        Some(v) => format_smolstr!("auth-{:016x}", hash(v.as_bytes())),
        None => remote.map(|r| r.ip().to_smolstr()).unwrap_or_default(),
    };
    Ok(RequestMeta {
        id,
        arrived,
        deadline: arrived + wait,
        priority,
        never_repeat,
        key,
        caller,
        remote,
    })
}

/// Parses the body of a completion request.
///
/// # Errors
///
/// Returns [`ParseRequestError::Body`] with a description and the position of the error.
pub fn parse_completion(
    meta: RequestMeta,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ParsedRequest, ParseRequestError> {
    #[derive(Deserialize)]
    struct Completion<'a> {
        model: SmolStr,
        #[serde(default)]
        stream: bool,
        max_tokens: Option<u32>,
        max_completion_tokens: Option<u32>,
        #[serde(borrow, default)]
        prompt: Option<&'a serde_json::value::RawValue>,
        #[serde(borrow, default)]
        messages: Option<&'a serde_json::value::RawValue>,
    }
    let c: Completion<'_> = serde_json::from_slice(&body)
        .map_err(|e| ParseRequestError::Body { why: e.to_string() })?;
    let content = match (c.prompt, c.messages, path) {
        (Some(p), _, "/v1/completions") => p.get(),
        (_, Some(m), "/v1/chat/completions") => m.get(),
        (.., "/v1/completions") => {
            return Err(ParseRequestError::Body {
                why: "prompt is missing".to_owned(),
            });
        }
        _ => {
            return Err(ParseRequestError::Body {
                why: "messages is missing".to_owned(),
            });
        }
    };
    let tokens = c
        .max_tokens
        .or(c.max_completion_tokens)
        .unwrap_or(DEFAULT_TOKENS);
    if tokens == 0 || tokens > MAX_TOKENS {
        return Err(ParseRequestError::Body {
            why: format!("max_tokens must be 1 to {MAX_TOKENS}"),
        });
    }
    let prefix = &content.as_bytes()[..content.len().min(AFFINITY_PREFIX_BYTES)];
    let affinity = hash(prefix) ^ hash(c.model.as_bytes());
    let repeat = if meta.never_repeat {
        Repeat::Never
    } else {
        Repeat::Allowed
    };
    Ok(ParsedRequest {
        meta,
        subject: Subject::Model(c.model),
        method: Method::POST,
        path: path.into(),
        headers: forwarded_headers(headers),
        stream: c.stream,
        tokens,
        affinity,
        repeat,
        body,
    })
}

/// Creates a request for a plain service.
///
/// A request whose method is not idempotent by definition is never repeated, even if the caller does
/// not forbid it.
#[must_use]
pub fn parse_service(
    meta: RequestMeta,
    name: SmolStr,
    method: Method,
    path: SmolStr,
    headers: &HeaderMap,
    body: Bytes,
) -> ParsedRequest {
    let repeat = if meta.never_repeat || !method.is_idempotent() {
        Repeat::Never
    } else {
        Repeat::Allowed
    };
    let affinity = hash(meta.caller.as_bytes());
    ParsedRequest {
        meta,
        subject: Subject::Service(name),
        method,
        path,
        headers: forwarded_headers(headers),
        body,
        stream: false,
        tokens: 1,
        affinity,
        repeat,
    }
}

/// Returns the headers to forward: all but hop-by-hop headers, `host`, `content-length` and
/// limehollow's own headers.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        let own = name.as_str().starts_with("x-limehollow-")
            || name == "host"
            || name == "content-length";
        !own && !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(name)
    };
    let forwarded = headers.iter().filter(|(n, _)| is_forwarded(n));
    let mut out = HeaderMap::with_capacity(headers.len());
    for (n, v) in forwarded {
        out.append(n.clone(), v.clone());
    }
    out
}

fn header_text(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<SmolStr>, ParseRequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(v) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return header_error(name, "stands more than once".into());
    }
    match v.to_str() {
        Ok(s) if !s.is_empty() && s.len() <= MAX_HEADER_VALUE => Ok(Some(s.into())),
        _ => header_error(
            name,
            format_smolstr!("must be 1 to {MAX_HEADER_VALUE} visible ASCII characters"),
        ),
    }
}

fn parse_number(name: &'static str, s: &str, max: u64) -> Result<u64, ParseRequestError> {
    match s.parse() {
        Ok(n) if (1..=max).contains(&n) => Ok(n),
        _ => header_error(
            name,
            format_smolstr!("must be a whole number from 1 to {max}, not {s:?}"),
        ),
    }
}

fn header_error<T>(name: &'static str, why: SmolStr) -> Result<T, ParseRequestError> {
    Err(ParseRequestError::Header { name, why })
}

fn hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Returns a header value for text that is known to be valid.
#[must_use]
pub fn header_value(s: &str) -> HeaderValue {
    HeaderValue::from_str(s).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
