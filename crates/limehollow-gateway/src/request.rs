//! Reads a caller's request.

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

/// Milliseconds that the caller still wait_limits, counted from the request's arrival.
pub const DEADLINE: &str = "x-limehollow-deadline-ms";
/// `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-limehollow-priority";
/// `never` if the request may run at most once.
pub const REPEAT: &str = "x-limehollow-repeat";
/// The request's identity.
pub const REQUEST_ID: &str = "x-request-id";
/// The caller's key for a request that it may send again.
pub const KEY: &str = "idempotency-key";

const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_VALUE: usize = 255;
const DEFAULT_TOKENS: u32 = 16;
const MAX_TOKENS: u32 = 1_000_000;
/// How much of a prompt counts as its beginning, in bytes: requests that share it go to the same
/// endpoint if they can, since it has the beginning in its cache.
const PREFIX: usize = 256;

/// Headers that belong to one connection and aren't passed on.
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

/// What is wrong with a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParseRequestError {
    /// A header has a value that it can't have.
    #[snafu(display("header {name}: {why}"))]
    Header {
        /// The header.
        name: &'static str,
        /// What would be valid.
        why: SmolStr,
    },
    /// The body isn't what it has to be.
    #[snafu(display("body: {why}"))]
    Body {
        /// What is wrong, with line and column where there are any.
        why: String,
    },
}

/// What a request's headers say, whatever it is for.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Its identity.
    pub id: SmolStr,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How much it matters, if it says so.
    pub priority: Option<Priority>,
    /// Whether the caller forbids a repetition.
    pub never_repeat: bool,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// Who sent it.
    pub caller: SmolStr,
    /// The caller's end of the connection.
    pub remote: Option<SocketAddr>,
}

/// A request that was read.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// What its headers say.
    pub meta: RequestMeta,
    /// What it is for.
    pub subject: Subject,
    /// The method.
    pub method: Method,
    /// The path and query at the endpoint.
    pub path: SmolStr,
    /// The headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The most tokens of the answer.
    pub tokens: u32,
    /// The hash of what a cache could share.
    pub affinity: u64,
    /// Whether it may run more than once.
    pub repeat: Repeat,
}

impl ParsedRequest {
    /// Gives the hash of the caller's key with what it belongs to, if there is a key.
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

    /// Gives the word that metrics use.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.subject {
            Subject::Model(_) => "completion",
            Subject::Service(_) => "service",
        }
    }
}

/// Gives a request's identity: the caller's, or a new one.
///
/// # Errors
///
/// [`ParseRequestError::Header`] if the caller's can't be used.
pub fn request_id(headers: &HeaderMap) -> Result<SmolStr, ParseRequestError> {
    let given = header_text(headers, REQUEST_ID)?;
    Ok(given.unwrap_or_else(|| format_smolstr!("{:032x}", rand::random::<u128>())))
}

/// How long callers wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// What a request that names no deadline gets.
    pub default: Duration,
    /// The longest: after it the silent connection would be closed, and with it the answer lost.
    pub longest: Duration,
}

/// Reads what the headers say.
///
/// # Errors
///
/// [`ParseRequestError::Header`] names the header and what would be valid.
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
    // Callers are told apart by what they authenticate with; the hash keeps secrets out of dumps.
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

/// Reads a completion request's body.
///
/// # Errors
///
/// [`ParseRequestError::Body`] says what is wrong and where.
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
    let prefix = &content.as_bytes()[..content.len().min(PREFIX)];
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

/// Reads a request for a plain service.
///
/// A method that isn't idempotent by its definition counts as not to be repeated, also if the caller
/// doesn't say so.
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

/// Gives the headers that are passed on: all but those of one connection.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    let stays = |name: &HeaderName| {
        let own = name.as_str().starts_with("x-limehollow-")
            || name == "host"
            || name == "content-length";
        !own && !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(name)
    };
    let kept = headers.iter().filter(|(n, _)| stays(n));
    let mut out = HeaderMap::with_capacity(headers.len());
    for (n, v) in kept {
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
        Ok(s) if !s.is_empty() && s.len() <= MAX_VALUE => Ok(Some(s.into())),
        _ => header_error(
            name,
            format_smolstr!("must be 1 to {MAX_VALUE} visible ASCII characters"),
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

/// Makes a header value of text that is known to be valid.
#[must_use]
pub fn header_value(s: &str) -> HeaderValue {
    HeaderValue::from_str(s).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
