//! The life of one request: from its head to its final answer.

use crate::answer::{Outgoing, Reason, plain, refuse};
use crate::dispatch::{Dispatch, LATER};
use crate::edge::{Ask, Protocol};
use crate::metrics::Metrics;
use crate::passage;
use crate::site::Site;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use limehollow::catalog::Rule;
use limehollow::fingerprint::{Fingerprint, Identity};
use limehollow::id::ServiceName;
use limehollow::job::Job;
use limehollow::verdict::Verdict;
use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Answers a request.
///
/// # Errors
///
/// None: what goes wrong is an answer too.
pub async fn handle<P>(
    site: Arc<Site<P>>,
    from: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<Outgoing<P>>, Infallible>
where
    P: Protocol,
{
    let arrived = site.now();
    let (head, body) = req.into_parts();
    let closes = site.is_stopping();
    let mut res = answer(site, from, arrived, head, body).await;
    if closes {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(res)
}

async fn answer<P>(
    site: Arc<Site<P>>,
    from: IpAddr,
    arrived: Instant,
    mut head: Parts,
    body: Incoming,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    let ask = match site.protocol.ask(&head) {
        Ok(ask) => ask,
        Err(bad) => {
            tracing::warn!(error = %bad, "request refused: not understood");
            Metrics::count(&site.metrics.requests, "bad request");
            return plain(&site, StatusCode::BAD_REQUEST, "", &bad.to_string());
        }
    };
    let Some(catalog) = site.catalog.load_full() else {
        return refuse(&site, &ask.id, Reason::NoConfiguration, LATER);
    };
    let host = host(&head);
    let Some(rule) = catalog.rule(host, head.uri.path()) else {
        tracing::info!(id = %ask.id, version = catalog.version, host, path = head.uri.path(), "no rule");
        Metrics::count(&site.metrics.requests, "no rule");
        return plain(
            &site,
            StatusCode::NOT_FOUND,
            &ask.id,
            "no rule for this path\n",
        );
    };
    let hash = xxhash_rust::xxh3::xxh3_64(ask.id.as_bytes());
    let Some(service) = rule.service(hash) else {
        return refuse(&site, &ask.id, Reason::NoEndpoint, LATER);
    };
    let time = ask.patience.map_or(rule.timeout, |p| p.min(rule.timeout));
    let expiry = arrived + time;
    let limit = catalog.limits.body_bytes;
    let body = match site
        .clock
        .timeout_at(expiry, Limited::new(body, limit).collect())
        .await
    {
        Ok(Ok(b)) => b.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Metrics::count(&site.metrics.requests, "too large");
            return plain(
                &site,
                StatusCode::PAYLOAD_TOO_LARGE,
                &ask.id,
                "body too large\n",
            );
        }
        Ok(Err(e)) => {
            tracing::debug!(id = %ask.id, error = %e, "the request's body broke off");
            return plain(&site, StatusCode::BAD_REQUEST, &ask.id, "body broke off\n");
        }
        Err(_) => {
            return plain(
                &site,
                StatusCode::REQUEST_TIMEOUT,
                &ask.id,
                "body too slow\n",
            );
        }
    };
    let fingerprint = fingerprint(&ask, &head, &body);
    passage::clean(&mut head.headers, |n| site.protocol.request_header(n));
    let d = Dispatch {
        job: job(service, rule, &ask),
        site: &site,
        catalog: &catalog,
        rule,
        ask: &ask,
        head: &head,
        body,
        caller: from,
        fingerprint,
        arrived,
        expiry,
        tried: Vec::new(),
        reached: 0,
        unreached: 0,
        verdict: Verdict::NotRun,
    };
    d.run().await
}

fn host(head: &Parts) -> &str {
    let named = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let named = named.or_else(|| head.uri.authority().map(http::uri::Authority::as_str));
    let host = named.unwrap_or("");
    host.split_once(':').map_or(host, |(h, _)| h)
}

fn fingerprint(ask: &Ask, head: &Parts, body: &Bytes) -> Fingerprint {
    let path = head.uri.path_and_query();
    Fingerprint::of(&Identity {
        caller: ask.caller.as_deref().unwrap_or(""),
        method: head.method.as_str(),
        host: host(head),
        path: path.map_or("", |p| p.as_str()),
        body,
    })
}

fn job(service: &ServiceName, rule: &Rule, ask: &Ask) -> Job {
    match &ask.model {
        Some(m) => {
            let tokens = (ask.prompt_tokens, ask.max_output);
            Job::generation(service.clone(), m.clone(), rule.rank, tokens, &ask.parts)
        }
        None => Job::plain(service.clone(), rule.rank),
    }
}
