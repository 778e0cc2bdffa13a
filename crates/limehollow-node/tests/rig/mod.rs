//! Test support: a gateway on loopback, scripted endpoints behind it, and a store in memory.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod crashing;
pub mod fleet;
mod fleet_net;
mod fleet_store;
pub mod reach;
pub mod unending;
pub mod versions;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use limehollow::backpressure::{RateSignal, Signals};
use limehollow::catalog::{CallerLimits, Catalog, Rule, Share};
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::group_lease::{GroupAssignment, Term};
use limehollow::id::ServiceName;
use limehollow::job::PromptPart;
use limehollow::log_position::LogPosition;
use limehollow::rebalance::EndpointReport;
use limehollow::retry::Repeat;
use limehollow::roster::{Endpoint, ModelRef};
use limehollow::version_history::ListedVersion;
use limehollow::workspace::KeyDigest;
use limehollow_edge::settings::parse;
use limehollow_node::caller;
use limehollow_node::edge::{
    AnswerClass, Change, Changes, Feed, ForwardMeta, HeaderPolicy, Kept, Order, OrderReply,
    ParseRequestError, ParseRequestSnafu, PeerStates, Protocol, RequestMeta, Resumption, Store,
    StoreError, Vm,
};
use limehollow_node::settings::NodeSettings;
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Members, State};
use smol_str::{SmolStr, format_smolstr};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

const ID: HeaderName = HeaderName::from_static("x-id");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const MARK: HeaderName = HeaderName::from_static("x-mark");

/// A minimal protocol for tests.
#[derive(Clone, Copy, Debug)]
pub struct Plain;

impl Protocol for Plain {
    fn parse_request(&self, head: &Parts) -> Result<RequestMeta, ParseRequestError> {
        let Some(id) = head.headers.get(ID).and_then(|v| v.to_str().ok()) else {
            return ParseRequestSnafu {
                header: "x-id",
                why: "is missing",
            }
            .fail();
        };
        Ok(RequestMeta {
            id: SmolStr::new(id),
            key: head
                .headers
                .get("x-key")
                .map(|v| KeyDigest::of(v.to_str().expect("text"))),
            timeout: None,
            model: head.headers.get("x-model").map(|v| ModelRef {
                model: SmolStr::new(v.to_str().expect("text")),
                adapter: None,
            }),
            prompt_tokens: 0,
            max_output: 0,
            parts: parts(&head.headers),
            resumption: resumption(&head.headers),
        })
    }

    fn request_header(&self, name: &HeaderName) -> HeaderPolicy {
        match name.as_str() {
            "x-id" | "x-takes-up" | "x-last-event" | "host" => HeaderPolicy::Required,
            "x-instance" | "x-reserve" | "x-workspace" => HeaderPolicy::Reserved,
            "x-key" => HeaderPolicy::Credential,
            _ => HeaderPolicy::Forward,
        }
    }

    fn answer_header(&self, name: &HeaderName) -> HeaderPolicy {
        match name.as_str() {
            "x-id" | "x-mark" => HeaderPolicy::Required,
            "x-not-run" => HeaderPolicy::Reserved,
            _ => HeaderPolicy::Forward,
        }
    }

    fn set_forward_headers(&self, headers: &mut HeaderMap, s: &ForwardMeta<'_>) {
        let instance = HeaderValue::from_str(s.instance).expect("valid");
        headers.insert("x-instance", instance);
        if let Some(w) = s.workspace {
            let w = HeaderValue::from_str(w).expect("valid");
            headers.insert("x-workspace", w);
        }
    }

    fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
        _: &str,
    ) -> AnswerClass {
        if headers.get(ID).is_some_and(|v| v != id) {
            AnswerClass::Foreign
        } else if headers.contains_key(NOT_RUN) {
            AnswerClass::NotRun
        } else if status.is_success() && !headers.contains_key(MARK) {
            AnswerClass::Invalid
        } else {
            AnswerClass::Genuine
        }
    }

    fn signals(&self, status: StatusCode, headers: &HeaderMap) -> Signals {
        let number = |name| {
            let v: Option<&HeaderValue> = headers.get(name);
            v.map(|v| v.to_str().expect("text").parse().expect("a number"))
        };
        let turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        Signals {
            leaving: headers.contains_key("x-leaving"),
            rate: number("x-rate").map_or(RateSignal::Unnamed, RateSignal::Named),
            brittle: number("x-brittle").map_or(RateSignal::Unnamed, RateSignal::Named),
            cold: number("x-cold").map(|ms| Duration::from_secs_f64(ms / 1000.0)),
            backoff: number("x-rest")
                .filter(|_| turned_away)
                .map(Duration::from_secs_f64),
        }
    }

    fn set_request_id(&self, headers: &mut HeaderMap, id: &str) {
        headers.insert(ID, HeaderValue::from_str(id).expect("valid"));
    }

    fn report_request(&self, _: &str) -> Request<Full<Bytes>> {
        Request::new(Full::default())
    }

    fn read_report(&self, _: &[u8]) -> Result<EndpointReport, String> {
        Err("no reports here".to_owned())
    }

    fn order_request(&self, _: &Order<'_>) -> Request<Full<Bytes>> {
        Request::new(Full::default())
    }

    fn order_reply(&self, status: StatusCode) -> OrderReply {
        OrderReply::Refused(status.as_u16())
    }
}

/// Parses the ids of a prompt's parts.
fn parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let ids = headers.get("x-parts").map(|v| v.to_str().expect("text"));
    let ids = ids.unwrap_or_default().split(',').filter(|t| !t.is_empty());
    let parts = ids.map(|t| PromptPart {
        id: t.parse().expect("a number"),
        tokens: 10,
    });
    parts.collect()
}

fn resumption(headers: &HeaderMap) -> Option<Resumption> {
    let text = |name| {
        headers
            .get(name)
            .map(|v: &HeaderValue| v.to_str().expect("text"))
    };
    let first_request = text("x-takes-up").map(SmolStr::new);
    let is_taken_up = first_request.is_some() || text("x-last-event").is_some();
    is_taken_up.then_some(Resumption { first_request })
}

/// What a scripted endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Does {
    /// Writes these bytes and keeps the connection open.
    Writes(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WritesAndCloses(Vec<u8>),
    /// Writes these bytes, then waits without writing more.
    WritesAndWaits(Vec<u8>),
    /// Closes the connection without writing anything.
    Closes,
    /// Writes `first`, then `again` until the peer closes the connection or so many bytes are written; then it waits.
    WritesOn {
        first: Vec<u8>,
        again: Vec<u8>,
        most: usize,
    },
}

pub fn answer(status: u16, id: &str, more: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("HTTP/1.1 {status} x\r\nx-id: {id}\r\n{more}content-length: {len}\r\n\r\n{body}")
        .into_bytes()
}

/// A scripted endpoint, and what it received.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub requests: Arc<AtomicUsize>,
    /// The data received, one entry per read.
    pub received: Arc<Mutex<Vec<String>>>,
    /// The number of connections that the peer has closed.
    pub left: Arc<AtomicUsize>,
}

impl Server {
    /// Starts an endpoint that takes one of these actions per request, and repeats the last one.
    pub async fn start(does: Vec<Does>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        Self::on(listener.expect("a port is free"), does)
    }

    /// Starts an endpoint that listens there.
    pub fn on(listener: TcpListener, does: Vec<Does>) -> Self {
        let address = listener.local_addr().expect("it is bound");
        let (requests, left) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let does = Arc::new(Mutex::new(VecDeque::from(does)));
        let received = Arc::new(Mutex::new(Vec::new()));
        let (r, l, c) = (
            Arc::clone(&requests),
            Arc::clone(&left),
            Arc::clone(&received),
        );
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("it accepts");
                tokio::spawn(serve(
                    stream,
                    Arc::clone(&does),
                    Arc::clone(&r),
                    Arc::clone(&c),
                    Arc::clone(&l),
                ));
            }
        });
        Self {
            address,
            requests,
            received,
            left,
        }
    }

    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns `true` if a request with this id has arrived.
    pub fn has_received(&self, id: &str) -> bool {
        let line = format!("x-id: {id}\r\n");
        let received = self.received.lock().expect("no test panics with it");
        received.iter().any(|r| r.contains(&line))
    }
}

async fn serve(
    mut stream: TcpStream,
    does: Arc<Mutex<VecDeque<Does>>>,
    requests: Arc<AtomicUsize>,
    received: Arc<Mutex<Vec<String>>>,
    left: Arc<AtomicUsize>,
) {
    let mut buf = vec![0; 65_536];
    loop {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => {
                let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                received.lock().expect("no test panics with it").push(text);
            }
            _ => {
                left.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        requests.fetch_add(1, Ordering::Relaxed);
        let next = {
            let mut does = does.lock().expect("no test panics with it");
            if does.len() > 1 {
                does.pop_front()
            } else {
                does.front().cloned()
            }
        };
        match next.expect("it does something") {
            Does::Writes(bytes) | Does::WritesAndWaits(bytes) => {
                stream.write_all(&bytes).await.expect("it is written");
            }
            Does::WritesAndCloses(bytes) => {
                stream.write_all(&bytes).await.expect("it is written");
                return;
            }
            Does::Closes => return,
            Does::WritesOn { first, again, most } => {
                if !write_on(&mut stream, &first, &again, most).await {
                    left.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
        }
    }
}

/// Returns `false` once the peer has closed the connection.
async fn write_on(stream: &mut TcpStream, first: &[u8], again: &[u8], most: usize) -> bool {
    let mut written = first.len();
    let mut is_open = stream.write_all(first).await.is_ok();
    while is_open && written + again.len() <= most {
        is_open = stream.write_all(again).await.is_ok();
        written += again.len();
    }
    is_open
}

pub fn settings() -> NodeSettings {
    parse_settings(
        "name = \"vm-1\"\navailability_zone = \"a\"\nip = \"127.0.0.1\"\npeer_port = 0\n",
    )
}

/// Parses settings: a common part, and the part that a test passes.
pub fn parse_settings(own: &str) -> NodeSettings {
    let common = "address = \"127.0.0.1:1\"\nreadiness_address = \"127.0.0.1:2\"\nadmin_port = 0\n\
        store_address = \"127.0.0.1:3\"\ngrace_ms = 8000\nlease_ms = 3000\nrepeat_ratio = 0.2\n\
        repeat_slack = 50.0\nrepeat_window_ms = 10000\nload_window_ms = 5000\nload_over = 1.1\n";
    parse("test.toml", &format!("{own}{common}")).expect("they are valid")
}

pub fn rule(prefix: &str, repeat: Repeat, max_attempts: u32) -> Rule {
    Rule {
        name: SmolStr::new(prefix),
        host: "portal.example".into(),
        prefix: SmolStr::new(prefix),
        shares: vec![Share {
            service: "portal".into(),
            weight: 1,
        }],
        repeat,
        stream: false,
        resumable: false,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(1000),
        pause: None,
        rank: 0,
        max_attempts,
        open: false,
        homes: Vec::new(),
    }
}

pub fn catalog(version: u64, rules: Vec<Rule>) -> Catalog {
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 1000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Catalog::new(version, rules, BTreeMap::new(), limits)
}

pub fn endpoint(i: usize, address: SocketAddr) -> Endpoint {
    Endpoint {
        instance: format_smolstr!("i-{i}").into(),
        service: ServiceName::from("portal"),
        address,
        zone: "a".into(),
        software: Some("v1".into()),
        slots: 6,
        leaving: false,
        cold_ms: 0,
        holdings: BTreeMap::new(),
        copies: BTreeSet::new(),
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    pub site: Arc<Site<Plain>>,
    pub address: SocketAddr,
    pub stop: watch::Sender<bool>,
}

impl Gateway {
    /// Starts a gateway with one rule and these endpoints.
    pub async fn start(rule: Rule, servers: &[SocketAddr]) -> Self {
        let site = Site::new(settings(), Plain);
        site.set_catalog(catalog(1, vec![rule]));
        for (i, address) in servers.iter().enumerate() {
            site.view()
                .roster
                .apply_entry(tokio::time::Instant::now(), endpoint(i, *address));
        }
        Self::with(site).await
    }

    pub async fn with(site: Arc<Site<Plain>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(caller::serve(Arc::clone(&site), listener, stopped));
        Self {
            site,
            address,
            stop,
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("it accepts")
    }

    /// Sends one request and reads the answer until the connection ends.
    pub async fn ask(&self, path: &str, body: &str) -> String {
        ask_with(self.address, path, body).await
    }
}

/// Sends one request without a body to a gateway and reads the answer until the connection ends.
pub async fn ask_at(gateway: SocketAddr, path: &'static str) -> String {
    ask_with(gateway, path, "").await
}

async fn ask_with(gateway: SocketAddr, path: &str, body: &str) -> String {
    let mut s = TcpStream::connect(gateway).await.expect("it accepts");
    s.write_all(request(path, "1", "connection: close\r\n", body).as_bytes())
        .await
        .expect("it is written");
    let mut out = Vec::new();
    // A reset of the connection ends the answer too.
    let _reset = s.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

pub fn request(path: &str, id: &str, more: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: portal.example\r\nx-id: {id}\r\n{more}content-length: {len}\r\n\r\n{body}"
    )
}

pub fn status(answer: &str) -> u16 {
    let code = answer.split(' ').nth(1);
    code.and_then(|c| c.parse().ok()).unwrap_or(0)
}

/// A client that gets no state from any other VM.
#[derive(Clone, Copy, Debug)]
pub struct NoStates;

impl PeerStates for NoStates {
    async fn fetch(&self, _: SocketAddr) -> Result<State, String> {
        Err("no other VM is there".to_owned())
    }

    async fn fetch_configuration(&self, _: SocketAddr) -> Result<State, String> {
        Err("no other VM is there".to_owned())
    }

    async fn fetch_start(&self, _: SocketAddr, _: LogPosition) -> Result<Option<State>, String> {
        Err("no other VM is there".to_owned())
    }

    async fn fetch_members(&self, _: SocketAddr) -> Result<Members, String> {
        Err("no other VM is there".to_owned())
    }

    async fn fetch_crashes(&self, _: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        Err("no other VM is there".to_owned())
    }
}

/// A store in memory, which a test can make unavailable.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<Required>>, Arc<Notify>);

#[derive(Debug, Default)]
struct Required {
    changes: Vec<(Feed, Change)>,
    /// How often the store was restored from a backup.
    era: u64,
    /// The result of a full read, if it differs from all changes.
    newest: Option<Vec<Change>>,
    /// The history below this position is gone.
    first: usize,
    is_away: bool,
    /// Whether calls that wait are never woken by a change and end only by their timeout.
    is_deaf: bool,
    /// The transit time of an answer with changes.
    transfer: Duration,
    /// The number of calls for each feed.
    calls: BTreeMap<Feed, usize>,
    crashes: BTreeMap<Fingerprint, CrashRecord>,
    versions: Option<Vec<ListedVersion>>,
}

impl Memory {
    pub fn add(&self, feed: Feed, change: Change) {
        self.0.lock().expect("sound").changes.push((feed, change));
        self.1.notify_waiters();
    }

    /// Returns the number of calls for a feed so far.
    pub fn calls(&self, feed: Feed) -> usize {
        let kept = self.0.lock().expect("sound");
        kept.calls.get(&feed).copied().unwrap_or(0)
    }

    fn count_call(&self, feed: Feed) {
        let mut kept = self.0.lock().expect("sound");
        *kept.calls.entry(feed).or_default() += 1;
    }

    pub fn set_away(&self, is_away: bool) {
        self.0.lock().expect("sound").is_away = is_away;
        self.1.notify_waiters();
    }

    pub fn set_deaf(&self) {
        self.0.lock().expect("sound").is_deaf = true;
    }

    pub fn set_transfer(&self, transfer: Duration) {
        self.0.lock().expect("sound").transfer = transfer;
    }

    /// Returns the number of VMs in the store.
    pub fn vms(&self) -> usize {
        let kept = self.0.lock().expect("sound");
        let names = kept.changes.iter().filter_map(|(_, c)| match c {
            Change::Vm(vm) => Some(&vm.name),
            _ => None,
        });
        names.collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Returns the number of changes, at which a backup can be made.
    pub fn len(&self) -> usize {
        self.0.lock().expect("sound").changes.len()
    }

    /// Restores the store from a backup that was made at this number of changes; later changes are lost.
    pub fn return_from_copy(&self, len: usize) {
        let mut kept = self.0.lock().expect("sound");
        kept.changes.truncate(len);
        kept.era += 1;
        drop(kept);
        self.1.notify_waiters();
    }

    /// Drops the history and sets the result of full reads from now on.
    pub fn compact(&self, newest: Vec<Change>) {
        let mut kept = self.0.lock().expect("sound");
        // The history is dropped including the records that no VM has read.
        let unread = Change::EndpointGone("nobody".into());
        kept.changes.push((Feed::Vms, unread));
        kept.first = kept.changes.len();
        kept.newest = Some(newest);
        drop(kept);
        self.1.notify_waiters();
    }

    /// Returns an answer after its transit time.
    async fn transferred(&self, c: Changes) -> Changes {
        let transfer = self.0.lock().expect("sound").transfer;
        if !c.changes.is_empty() {
            tokio::time::sleep(transfer).await;
        }
        c
    }

    /// Reads from a position on, unless it is of another era.
    fn read_on(&self, feed: Feed, from: LogPosition) -> Result<Changes, StoreError> {
        let era = self.0.lock().expect("sound").era;
        if from.era() != era {
            return Err(StoreError::HistoryGone { call: "changes" });
        }
        self.read(feed, usize::try_from(from.offset()).expect("it is small"))
    }

    fn read(&self, feed: Feed, from: usize) -> Result<Changes, StoreError> {
        let kept = self.0.lock().expect("sound");
        if kept.is_away {
            return Err(away("changes"));
        }
        if from < kept.first || from > kept.changes.len() {
            return Err(StoreError::HistoryGone { call: "changes" });
        }
        let later = kept.changes.iter().skip(from);
        let changes = later.filter(|(f, _)| *f == feed).map(|(_, c)| c.clone());
        Ok(Changes {
            next: LogPosition::new(kept.era, kept.changes.len() as u64),
            changes: changes.collect(),
        })
    }
}

/// Keeps the last entry of each endpoint, and none of an endpoint that was removed.
fn newest_of_each(changes: Vec<Change>) -> Vec<Change> {
    let mut endpoints = BTreeMap::new();
    let mut others = Vec::new();
    for c in changes {
        match &c {
            Change::Endpoint(e) => {
                endpoints.insert(e.instance.id.clone(), c);
            }
            Change::EndpointGone(id) => {
                endpoints.remove(id);
            }
            Change::Malformed { key, .. } => {
                endpoints.insert(key.clone(), c);
            }
            _ => others.push(c),
        }
    }
    others.extend(endpoints.into_values());
    others
}

impl Store for Memory {
    async fn newest(&self, feed: Feed) -> Result<Changes, StoreError> {
        self.count_call(feed);
        let first = self.0.lock().expect("sound").first;
        let mut out = self.read(feed, first)?;
        let newest = self.0.lock().expect("sound").newest.clone();
        if let Some(mut whole) = newest {
            whole.append(&mut out.changes);
            out.changes = whole;
        }
        out.changes = newest_of_each(out.changes);
        Ok(out)
    }

    async fn changes(
        &self,
        feed: Feed,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.count_call(feed);
        let changed = self.1.notified();
        let now = self.read_on(feed, from)?;
        if !now.changes.is_empty() {
            return Ok(self.transferred(now).await);
        }
        let is_deaf = self.0.lock().expect("sound").is_deaf;
        if is_deaf {
            tokio::time::sleep(wait).await;
            return Ok(now);
        }
        // After the timeout the answer has no changes.
        let _timed_out = tokio::time::timeout(wait, changed).await;
        let later = self.read_on(feed, from)?;
        Ok(self.transferred(later).await)
    }

    async fn announce(&self, vms: &[Vm]) -> Result<(), StoreError> {
        for vm in vms {
            self.add(Feed::Vms, Change::Vm(vm.clone()));
        }
        Ok(())
    }

    async fn join(&self, _: &str, _: u64) -> Result<GroupAssignment, StoreError> {
        Ok(GroupAssignment {
            term: Term {
                era: 0,
                generation: 1,
            },
            holds_lease: true,
        })
    }

    async fn leave(&self, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn kept(&self) -> Result<Kept, StoreError> {
        let kept = self.0.lock().expect("sound");
        if kept.is_away {
            return Err(away("kept"));
        }
        Ok(Kept {
            crashes: kept.crashes.values().cloned().collect(),
            versions: kept.versions.clone(),
        })
    }

    async fn put_versions(&self, versions: &[ListedVersion]) -> Result<(), StoreError> {
        let mut kept = self.0.lock().expect("sound");
        if kept.is_away {
            return Err(away("keep versions"));
        }
        kept.versions = Some(versions.to_vec());
        Ok(())
    }

    async fn put_crash_record(
        &self,
        request: Fingerprint,
        record: Option<&CrashRecord>,
    ) -> Result<(), StoreError> {
        let mut kept = self.0.lock().expect("sound");
        if kept.is_away {
            return Err(away("keep crash record"));
        }
        match record {
            Some(r) => {
                let kept_record = CrashRecord {
                    age_ms: 0,
                    ..r.clone()
                };
                kept.crashes.insert(request, kept_record);
            }
            None => {
                kept.crashes.remove(&request);
            }
        }
        Ok(())
    }
}

fn away(call: &'static str) -> StoreError {
    StoreError::Rejected { call, status: 503 }
}
