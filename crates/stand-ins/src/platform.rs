//! The platform's stand-in: a log with offsets and retention, a membership list that lags, and a
//! weight store with a limited rate.

use limehollow_edge::settings::{Invalid, Settings, check_address, check_range};
use limehollow_wire::platform::{Append, Appended, LogRecord, Member, Members, Records};
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The settings of the platform's stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens, as `IP:PORT`.
    pub address: String,
    /// Further addresses, one a zone, so that a zone can be cut off from the platform.
    #[serde(default)]
    pub zone_addresses: BTreeMap<String, String>,
    /// How long records are kept, in milliseconds.
    pub retention_ms: u64,
    /// By how much the membership list lags, in milliseconds.
    #[serde(default)]
    pub members_lag_ms: u64,
    /// Loads that the weight store starts a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once.
    pub loads_at_once: usize,
    /// How long one load takes, in milliseconds.
    pub load_ms: u64,
    /// The membership list at the start.
    #[serde(default)]
    pub members: Vec<Member>,
}

impl Settings for PlatformSettings {
    fn check(&self) -> Result<(), Invalid> {
        check_address("address", &self.address)?;
        check_range("retention_ms", self.retention_ms, 1..=u64::MAX)?;
        if self.loads_per_second <= 0.0 {
            return Err(Invalid::new("loads_per_second", "must be more than 0"));
        }
        check_range("loads_at_once", self.loads_at_once as u64, 1..=1_000)
    }
}

/// The faults that can be switched on by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The log refuses everything.
    pub log_down: bool,
    /// The log answers later by this time, in milliseconds.
    pub log_slow_ms: u64,
    /// How many next appends take effect but answer with an error.
    pub lose_append_answers: u32,
    /// How many next appends are dropped with an error.
    pub drop_appends: u32,
    /// The membership list refuses.
    pub members_down: bool,
    /// The zones that can't reach the platform at their own address.
    pub cut_zones: BTreeSet<String>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<LogRecord>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    /// The list as it was at each change, the oldest first.
    members: VecDeque<(Option<Instant>, BTreeMap<String, Member>)>,
    faults: PlatformFaults,
    next_load: Option<Instant>,
    loads: u64,
    appends: u64,
}

/// The platform's stand-in.
#[derive(Debug)]
pub struct Platform {
    settings: PlatformSettings,
    started: Instant,
    state: Mutex<State>,
    appended: Notify,
    load_slots: Semaphore,
}

/// The zone that an address belongs to, if any.
#[derive(Clone, Debug)]
struct Zone(Option<String>);

impl Platform {
    /// Makes one with its settings.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Arc<Self> {
        let rows = settings
            .members
            .iter()
            .map(|m| (m.vm.to_string(), m.clone()))
            .collect();
        let state = State {
            members: VecDeque::from([(None, rows)]),
            ..State::default()
        };
        Arc::new(Self {
            load_slots: Semaphore::new(settings.loads_at_once),
            settings,
            started: Instant::now(),
            state: Mutex::new(state),
            appended: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn is_cut(&self, zone: &Zone) -> bool {
        zone.0
            .as_ref()
            .is_some_and(|z| self.lock().faults.cut_zones.contains(z))
    }

    /// Appends records and gives the offset of the first; nothing if a fault drops them. The flag
    /// says whether the answer gets through.
    fn append(&self, stream: &str, records: Vec<String>) -> Option<(u64, bool)> {
        let at_ms = self.now_ms();
        let mut s = self.lock();
        if s.faults.drop_appends > 0 {
            s.faults.drop_appends -= 1;
            return None;
        }
        let answered = s.faults.lose_append_answers == 0;
        s.faults.lose_append_answers = s.faults.lose_append_answers.saturating_sub(1);
        s.appends += 1;
        let keep = self.settings.retention_ms;
        let log = s.streams.entry(stream.to_owned()).or_default();
        let first = log.next();
        for (offset, data) in (first..).zip(records) {
            log.records.push_back(LogRecord {
                offset,
                at_ms,
                data,
            });
        }
        while log.records.front().is_some_and(|r| r.at_ms + keep < at_ms) {
            log.records.pop_front();
            log.first += 1;
        }
        drop(s);
        self.appended.notify_waiters();
        Some((first, answered))
    }

    fn read(&self, stream: &str, from: u64, limit: usize) -> Records {
        let mut s = self.lock();
        let log = s.streams.entry(stream.to_owned()).or_default();
        let skip = usize::try_from(from.saturating_sub(log.first)).unwrap_or(usize::MAX);
        let records = log.records.iter().skip(skip).take(limit).cloned().collect();
        Records {
            first: log.first,
            next: log.next(),
            records,
        }
    }

    /// Serves on all addresses of the settings until the process ends.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let mut servers = tokio::task::JoinSet::new();
        let main = (None, self.settings.address.clone());
        let zones = self
            .settings
            .zone_addresses
            .iter()
            .map(|(z, a)| (Some(z.clone()), a.clone()));
        for (zone, address) in std::iter::once(main).chain(zones) {
            let routes = routes().data(Arc::clone(&self)).data(Zone(zone));
            servers.spawn(async move { Server::new(TcpListener::bind(address)).run(routes).await });
        }
        while let Some(res) = servers.join_next().await {
            res.map_err(std::io::Error::other)??;
        }
        Ok(())
    }
}

fn routes() -> Route {
    Route::new()
        .at("/log/:stream/append", post(append))
        .at("/log/:stream/read", get(read))
        .at("/members", get(members))
        .at(
            "/members/:vm",
            get(member).put(put_member).delete(delete_member),
        )
        .at("/weights/load", post(load))
        .at("/faults", post(set_faults).get(get_faults))
        .at("/counters", get(counters))
        .at("/healthz", get(healthz))
}

fn down() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "out of order\n").into_response()
}

#[handler]
async fn append(
    Data(p): Data<&Arc<Platform>>,
    Data(zone): Data<&Zone>,
    Path(stream): Path<String>,
    Json(body): Json<Append>,
) -> Response {
    let faults = p.lock().faults.clone();
    if p.is_cut(zone) || faults.log_down {
        return down();
    }
    sleep(Duration::from_millis(faults.log_slow_ms)).await;
    match p.append(&stream, body.records) {
        Some((first, true)) => Json(Appended { first }).into_response(),
        Some((_, false)) => (StatusCode::GATEWAY_TIMEOUT, "the answer was lost\n").into_response(),
        None => (StatusCode::GATEWAY_TIMEOUT, "the append was lost\n").into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn read(
    Data(p): Data<&Arc<Platform>>,
    Data(zone): Data<&Zone>,
    Path(stream): Path<String>,
    Query(q): Query<ReadQuery>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(q.wait_ms);
    loop {
        let waiter = p.appended.notified();
        let faults = p.lock().faults.clone();
        if p.is_cut(zone) || faults.log_down {
            return down();
        }
        let batch = p.read(&stream, q.from, q.limit);
        let left = deadline.saturating_duration_since(Instant::now());
        if !batch.records.is_empty() || left.is_zero() {
            sleep(Duration::from_millis(faults.log_slow_ms)).await;
            return Json(batch).into_response();
        }
        // Wake up now and then, so that a fault cuts a long wait off too.
        let _timeout = timeout(left.min(Duration::from_millis(200)), waiter).await;
    }
}

#[handler]
fn members(Data(p): Data<&Arc<Platform>>, Data(zone): Data<&Zone>) -> Response {
    if p.is_cut(zone) || p.lock().faults.members_down {
        return down();
    }
    let lag = Duration::from_millis(p.settings.members_lag_ms);
    let mut s = p.lock();
    let visible = |at: &Option<Instant>| at.is_none_or(|at| at + lag <= Instant::now());
    while s.members.len() > 1 && visible(&s.members[1].0) {
        s.members.pop_front();
    }
    let rows = s
        .members
        .front()
        .map(|(_, m)| m.values().cloned().collect())
        .unwrap_or_default();
    Json(Members { members: rows }).into_response()
}

#[handler]
fn member(Data(p): Data<&Arc<Platform>>, Path(vm): Path<String>) -> Response {
    match p.lock().members.back().and_then(|(_, m)| m.get(&vm)) {
        Some(m) => Json(m.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
fn put_member(
    Data(p): Data<&Arc<Platform>>,
    Path(vm): Path<String>,
    Json(m): Json<Member>,
) -> StatusCode {
    change_members(p, |rows| {
        rows.insert(vm, m);
    });
    StatusCode::NO_CONTENT
}

#[handler]
fn delete_member(Data(p): Data<&Arc<Platform>>, Path(vm): Path<String>) -> StatusCode {
    change_members(p, |rows| {
        rows.remove(&vm);
    });
    StatusCode::NO_CONTENT
}

fn change_members<F>(p: &Platform, f: F)
where
    F: FnOnce(&mut BTreeMap<String, Member>),
{
    let mut s = p.lock();
    let mut rows = s.members.back().map(|(_, m)| m.clone()).unwrap_or_default();
    f(&mut rows);
    s.members.push_back((Some(Instant::now()), rows));
}

/// Answers when a model's weights have been read: loads start at a limited rate, and a limited
/// number runs at once.
#[handler]
async fn load(Data(p): Data<&Arc<Platform>>) -> StatusCode {
    let pause = Duration::from_secs_f64(1.0 / p.settings.loads_per_second);
    let start = {
        let mut s = p.lock();
        s.loads += 1;
        let now = Instant::now();
        let start = s.next_load.unwrap_or(now).max(now);
        s.next_load = Some(start + pause);
        start
    };
    sleep_until(start).await;
    let _permit = p.load_slots.acquire().await;
    sleep(Duration::from_millis(p.settings.load_ms)).await;
    StatusCode::NO_CONTENT
}

#[handler]
fn set_faults(Data(p): Data<&Arc<Platform>>, Json(f): Json<PlatformFaults>) -> StatusCode {
    p.lock().faults = f;
    p.appended.notify_waiters();
    StatusCode::NO_CONTENT
}

#[handler]
fn get_faults(Data(p): Data<&Arc<Platform>>) -> Json<PlatformFaults> {
    Json(p.lock().faults.clone())
}

#[handler]
fn counters(Data(p): Data<&Arc<Platform>>) -> Json<serde_json::Value> {
    let s = p.lock();
    Json(serde_json::json!({ "appends": s.appends, "loads": s.loads }))
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}
