//! Handles one request: parses it, checks its key and its workspace's limit, and dispatches it to endpoints.

use crate::answer::{Outgoing, Reason, plain, refuse};
use crate::dispatch::Dispatch;
use crate::edge::{Protocol, RequestMeta};
use crate::keys::{self, KeyError};
use crate::limits::{self, TokenOutcome};
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::pass_on::Passage;
use crate::relay::millis;
use crate::request_body;
use crate::retry_delay::DEFAULT_RETRY_DELAY;
use crate::site::Site;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use limehollow::fingerprint::{Causes, Fingerprint, Identity};
use limehollow::id::ServiceName;
use limehollow::job::Job;
use limehollow::quota::Subject;
use limehollow::verdict::Verdict;
use limehollow::workspace::Workspace;
use smol_str::SmolStr;
use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers a request.
///
/// # Errors
///
/// Never fails: each failure is turned into an answer.
pub async fn handle<P>(
    site: Arc<Site<P>>,
    from: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<Outgoing<P>>, Infallible>
where
    P: Protocol,
{
    let arrival = Arrival {
        from,
        at: site.now(),
        is_taken_over: false,
    };
    site.recent_work.record();
    let (head, body) = req.into_parts();
    let is_stopping = site.is_stopping();
    let mut res = answer(site, arrival, head, body).await;
    if is_stopping {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(res)
}

/// Answers a request that another VM has passed on, which had arrived there at this time.
pub(crate) async fn take_over<P>(
    site: Arc<Site<P>>,
    from: IpAddr,
    at: Instant,
    req: Request<Incoming>,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    let arrival = Arrival {
        from,
        at,
        is_taken_over: true,
    };
    let (head, body) = req.into_parts();
    answer(site, arrival, head, body).await
}

/// Where a request came from.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// The caller.
    from: IpAddr,
    /// When it arrived at the VM to which the caller sent it.
    at: Instant,
    /// Whether another VM has passed it on.
    is_taken_over: bool,
}

async fn answer<P>(
    site: Arc<Site<P>>,
    arrival: Arrival,
    head: Parts,
    body: Incoming,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    let meta = match site.protocol.parse_request(&head) {
        Ok(meta) => meta,
        Err(bad) => {
            tracing::warn!(error = %bad, "request refused: its metadata can't be parsed");
            Metrics::count(&site.metrics.requests, "bad request");
            return plain(&site, StatusCode::BAD_REQUEST, "", &bad.to_string());
        }
    };
    let Some(catalog) = site.catalog.load_full() else {
        return refuse(
            &site,
            &meta.id,
            Reason::NoConfiguration,
            DEFAULT_RETRY_DELAY,
        );
    };
    let host = host(&head);
    let Some(rule) = catalog.rule(host, head.uri.path()) else {
        tracing::info!(id = %meta.id, version = catalog.version, host, path = head.uri.path(), "no rule");
        Metrics::count(&site.metrics.requests, "no rule");
        return plain(
            &site,
            StatusCode::NOT_FOUND,
            &meta.id,
            "no rule for this path\n",
        );
    };
    let authorization = match keys::authorize(&site, &catalog, rule, &meta) {
        Ok(p) => p,
        Err(KeyError::Unconfirmed) => {
            return refuse(&site, &meta.id, Reason::KeyUnconfirmed, DEFAULT_RETRY_DELAY);
        }
        Err(KeyError::Unknown) => return unknown_key(&site, catalog.version, &meta),
    };
    let hash = xxhash_rust::xxh3::xxh3_64(meta.id.as_bytes());
    let Some(service) = rule.service(hash) else {
        return refuse(&site, &meta.id, Reason::NoEndpoint, DEFAULT_RETRY_DELAY);
    };
    let time = meta.timeout.map_or(rule.timeout, |p| p.min(rule.timeout));
    let expiry = arrival.at + time;
    let limit = catalog.limits.body_bytes;
    let body = match request_body::read(&site, &meta.id, body, limit, expiry).await {
        Ok(b) => b,
        Err(res) => return res,
    };
    if !arrival.is_taken_over && site.is_cut_off() {
        let passage = Passage {
            site: &site,
            rule,
            service,
            id: &meta.id,
            head: &head,
            body,
            caller: arrival.from,
            arrived: arrival.at,
            expiry,
        };
        return passage.run().await;
    }
    let workspace = authorization
        .as_ref()
        .and_then(|p| catalog.workspaces.get(&p.workspace));
    let tokens = workspace.map_or(0.0, |w| w.cost.of(meta.tokens()));
    if let Some(w) = workspace
        && let Err(res) = acquire_tokens(&site, &meta.id, w, tokens).await
    {
        return res;
    }
    let identity = fingerprint(workspace, &meta, &head, &body);
    let causes = Causes::new(identity, service, &meta.parts, arrival.from.into());
    let homes = [&rule.homes[..], workspace.map_or(&[], |w| &w.homes[..])];
    let rank = catalog.rank(rule, authorization.as_ref().and_then(|p| p.rank));
    let d = Dispatch {
        job: job(service, rank, &meta).restricted_to(site.settings.load().zones_in_regions(&homes)),
        authorization: authorization.as_ref(),
        tokens,
        site: &site,
        catalog: &catalog,
        rule,
        meta: &meta,
        head: &head,
        body,
        caller: arrival.from,
        causes,
        arrived: arrival.at,
        expiry,
        turn: None,
        may_pass_on: !arrival.is_taken_over,
        tried: Vec::new(),
        reached: 0,
        unreached: 0,
        verdict: Verdict::NotRun,
    };
    d.run().await
}

/// Acquires the tokens of a workspace's limit that a request needs.
///
/// # Errors
///
/// Returns the answer to a request that doesn't get them.
async fn acquire_tokens<P>(
    site: &Site<P>,
    id: &str,
    w: &Workspace,
    tokens: f64,
) -> Result<(), Response<Outgoing<P>>>
where
    P: Protocol,
{
    match limits::acquire(site, &Subject::from(&w.name), tokens).await {
        TokenOutcome::Granted => Ok(()),
        TokenOutcome::OverLimit(after) => Err(over_limit(site, id, &w.name, after)),
        TokenOutcome::Unanswered => Err(refuse(
            site,
            id,
            Reason::LimitUnknown,
            limits::COORDINATOR_TAKEOVER,
        )),
    }
}

/// Builds the answer to a request whose key belongs to no workspace.
fn unknown_key<P>(site: &Site<P>, version: u64, meta: &RequestMeta) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    Metrics::count(&site.metrics.requests, "unknown key");
    if may_log() {
        let key = meta.key.map(|k| k.to_string());
        tracing::info!(id = %meta.id, version, key, "no workspace has this key");
    }
    let text = "a key of a workspace is needed\n";
    plain(site, StatusCode::UNAUTHORIZED, &meta.id, text)
}

/// Builds the answer to a request whose workspace is over its limit.
fn over_limit<P>(
    site: &Site<P>,
    id: &str,
    workspace: &SmolStr,
    after: Duration,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    site.metrics.count_over_limit(workspace);
    if may_log() {
        tracing::info!(id, %workspace, retry_after_ms = millis(after), "over the limit");
    }
    refuse(site, id, Reason::OverLimit, after)
}

fn host(head: &Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let named = named.or_else(|| head.uri.authority().map(http::uri::Authority::as_str));
    let host = named.unwrap_or("");
    host.split_once(':').map_or(host, |(h, _)| h)
}

/// Computes a request's fingerprint. The caller's identity is the workspace, whichever of its keys the request carries.
fn fingerprint(
    w: Option<&Workspace>,
    meta: &RequestMeta,
    head: &Parts,
    body: &Bytes,
) -> Fingerprint {
    let key = meta.key.filter(|_| w.is_none()).map(|k| k.to_string());
    let caller = w.map_or(key.as_deref(), |w| Some(&w.name));
    let path = head.uri.path_and_query();
    Fingerprint::of(&Identity {
        caller: caller.unwrap_or(""),
        method: head.method.as_str(),
        host: host(head),
        path: path.map_or("", |p| p.as_str()),
        body,
    })
}

/// Builds the job of a request.
fn job(service: &ServiceName, rank: u8, meta: &RequestMeta) -> Job {
    match &meta.model {
        Some(m) => {
            let tokens = (meta.prompt_tokens, meta.max_output);
            Job::generation(service.clone(), m.clone(), rank, tokens, &meta.parts)
        }
        None => Job::plain(service.clone(), rank),
    }
}
