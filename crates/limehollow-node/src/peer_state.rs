//! What a VM has read of the platform's store, handed to one that can't read it.
//!
//! The store may turn some VMs away and serve the others. Who hears that another VM has read further,
//! and can't read the store itself, asks that VM.

use crate::edge::{PeerStates, Protocol};
use crate::site::Site;
use crate::small_server;
use crate::start;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
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

/// What is asked for: what has been read of the store, and the requests under which endpoints crashed.
const STATE: &str = "/";
const CRASHES: &str = "/crashes";
/// What a VM asks for that starts: the state too, once it is whole and the list read beyond the position that follows.
const START: &str = "/start/";
const CONFIGURATION: &str = "/configuration";
const MEMBERS: &str = "/members";
/// How long a VM may take to hand over its state: some MB on the slowest links.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2000);
/// The largest state that is read: several times that of the largest deployment.
const MAX_STATE: usize = 8 << 20;
/// How long a connection of another VM may be at rest.
const IDLE: Duration = Duration::from_secs(5);

/// Hands this VM's state to others until the process ends.
pub async fn serve<P>(site: Arc<Site<P>>, listener: TcpListener)
where
    P: Protocol,
{
    let answer = move |path: &str| answer(&site, path);
    small_server::serve(listener, "another VM", IDLE, answer).await;
}

fn answer<P>(site: &Site<P>, path: &str) -> Response<Full<Bytes>>
where
    P: Protocol,
{
    if let Some(beyond) = path.strip_prefix(START) {
        let has_all = beyond.parse().is_ok_and(|p| site.has_all(p));
        if !has_all {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
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
            tracing::error!(error = %e, "the state can't be written");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Fetches over HTTP what other VMs hand out with [`serve`].
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpStates;

impl PeerStates for HttpStates {
    async fn fetch(&self, from: SocketAddr) -> Result<State, String> {
        let body = ask_in_time(from, STATE).await?;
        decode_state(&body).map_err(|e| e.to_string())
    }

    async fn fetch_configuration(&self, from: SocketAddr) -> Result<State, String> {
        let body = ask_in_time(from, CONFIGURATION).await?;
        decode_state(&body).map_err(|e| e.to_string())
    }

    async fn fetch_start(
        &self,
        from: SocketAddr,
        beyond: LogPosition,
    ) -> Result<Option<State>, String> {
        match ask_in_time(from, &format!("{START}{beyond}")).await {
            Ok(body) => decode_state(&body).map(Some).map_err(|e| e.to_string()),
            Err(AskError::Status {
                status: StatusCode::SERVICE_UNAVAILABLE,
            }) => Ok(None),
            Err(e) => Err(e.to_string()),
        }
    }

    async fn fetch_members(&self, from: SocketAddr) -> Result<Members, String> {
        let body = ask_in_time(from, MEMBERS).await?;
        decode_members(&body).map_err(|e| e.to_string())
    }

    async fn fetch_crashes(&self, from: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        let body = ask_in_time(from, CRASHES).await?;
        decode_crashes(&body).map_err(|e| e.to_string())
    }
}

/// Why another VM gave nothing.
#[derive(Debug, Snafu)]
enum AskError {
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("status {}", status.as_u16()))]
    Status { status: StatusCode },
    #[snafu(display("{why}"))]
    Broken { why: String },
}

impl From<AskError> for String {
    fn from(e: AskError) -> Self {
        e.to_string()
    }
}

fn broken<E>(e: E) -> AskError
where
    E: Display,
{
    AskError::Broken { why: e.to_string() }
}

async fn ask_in_time(from: SocketAddr, path: &str) -> Result<Bytes, AskError> {
    let asked = timeout(FETCH_TIMEOUT, ask(from, path)).await;
    asked.unwrap_or(Err(AskError::Silent))
}

async fn ask(from: SocketAddr, path: &str) -> Result<Bytes, AskError> {
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
        return Err(AskError::Status { status });
    }
    let body = Limited::new(res.into_body(), MAX_STATE).collect().await;
    let body = body.map_err(broken)?.to_bytes();
    driver.abort();
    Ok(body)
}
