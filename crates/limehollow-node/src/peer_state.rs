//! Handing what a VM has read from the platform's store to VMs that can't read the store, and serving other VMs.
//!
//! The store may reject some VMs and serve the others. A VM that can't read the store asks a VM that has
//! read further.

use crate::edge::{PeerStates, Protocol};
use crate::pass_on::{self, PassedOn};
use crate::site::Site;
use crate::small_server;
use crate::start;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper_util::rt::TokioIo;
use limehollow::crash_record::CrashRecord;
use limehollow::log_position::LogPosition;
use limehollow_wire::gossip::{
    Members, State, decode_crashes, decode_members, decode_state, encode_crashes, encode_members,
    encode_state,
};
use snafu::Snafu;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The paths of requests: the state read from the store, and the records of requests under which endpoints
/// crashed.
const STATE: &str = "/";
const CRASHES: &str = "/crashes";
/// The path prefix for a VM that starts. It gets the state once that is complete and the list has been read
/// beyond the position that follows in the path.
const START: &str = "/start/";
const CONFIGURATION: &str = "/configuration";
const MEMBERS: &str = "/members";
/// How long another VM may take to hand over its state: some MB on the slowest links.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2000);
/// The largest state that is read: several times that of the largest deployment.
const MAX_STATE: usize = 8 << 20;
/// How long a connection of another VM may be idle.
const IDLE: Duration = Duration::from_secs(5);

/// Hands this VM's state to others, and takes over their requests, until the process ends.
pub async fn serve<P>(site: Arc<Site<P>>, listener: TcpListener)
where
    P: Protocol + Unpin,
{
    let answer = move |req: Request<Incoming>| {
        let site = Arc::clone(&site);
        async move {
            match PassedOn::of(req.headers()) {
                Some(p) => pass_on::take_over(site, p, req).await,
                None => answer(&site, req.uri().path()).map(Either::Left),
            }
        }
    };
    small_server::serve(listener, "another VM", IDLE, answer).await;
}

fn answer<P>(site: &Site<P>, path: &str) -> Response<Full<Bytes>>
where
    P: Protocol,
{
    if let Some(beyond) = path.strip_prefix(START) {
        let has_all = beyond.parse().is_ok_and(|p| site.has_all(p));
        if !has_all {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    let body = match path {
        CONFIGURATION => encode_state(&site.configuration()),
        MEMBERS => encode_members(&start::members(site)),
        CRASHES => {
            let records = site.view().quarantine.records(site.now());
            encode_crashes(&records)
        }
        _ => encode_state(&site.state()),
    };
    match body {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(e) => {
            tracing::error!(error = %e, "failed to encode the state");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Fetches over HTTP what other VMs hand out with [`serve`].
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpStates;

impl PeerStates for HttpStates {
    async fn fetch(&self, from: SocketAddr) -> Result<State, String> {
        let body = fetch_with_timeout(from, STATE).await?;
        decode_state(&body).map_err(|e| e.to_string())
    }

    async fn fetch_configuration(&self, from: SocketAddr) -> Result<State, String> {
        let body = fetch_with_timeout(from, CONFIGURATION).await?;
        decode_state(&body).map_err(|e| e.to_string())
    }

    async fn fetch_start(
        &self,
        from: SocketAddr,
        beyond: LogPosition,
    ) -> Result<Option<State>, String> {
        match fetch_with_timeout(from, &format!("{START}{beyond}")).await {
            Ok(body) => decode_state(&body).map(Some).map_err(|e| e.to_string()),
            Err(FetchError::Status {
                status: StatusCode::SERVICE_UNAVAILABLE,
            }) => Ok(None),
            Err(e) => Err(e.to_string()),
        }
    }

    async fn fetch_members(&self, from: SocketAddr) -> Result<Members, String> {
        let body = fetch_with_timeout(from, MEMBERS).await?;
        decode_members(&body).map_err(|e| e.to_string())
    }

    async fn fetch_crashes(&self, from: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        let body = fetch_with_timeout(from, CRASHES).await?;
        decode_crashes(&body).map_err(|e| e.to_string())
    }
}

/// Why a request to another VM failed.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("status {}", status.as_u16()))]
    Status { status: StatusCode },
    #[snafu(display("{why}"))]
    Broken { why: String },
}

impl From<FetchError> for String {
    fn from(e: FetchError) -> Self {
        e.to_string()
    }
}

fn broken<E>(e: E) -> FetchError
where
    E: Display,
{
    FetchError::Broken { why: e.to_string() }
}

async fn fetch_with_timeout(from: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let fetched = timeout(FETCH_TIMEOUT, fetch_body(from, path)).await;
    fetched.unwrap_or(Err(FetchError::Silent))
}

async fn fetch_body(from: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let stream = TcpStream::connect(from).await.map_err(broken)?;
    let handshake = client::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(broken)?;
    let driver = tokio::spawn(driver);
    let mut req = Request::new(Full::<Bytes>::default());
    *req.uri_mut() = path.parse::<Uri>().map_err(broken)?;
    let host = HeaderValue::from_static("vm");
    req.headers_mut().insert(header::HOST, host);
    let res = sender.send_request(req).await.map_err(broken)?;
    let status = res.status();
    if status != StatusCode::OK {
        driver.abort();
        return Err(FetchError::Status { status });
    }
    let body = Limited::new(res.into_body(), MAX_STATE).collect().await;
    let body = body.map_err(broken)?.to_bytes();
    driver.abort();
    Ok(body)
}
