//! A model engine's stand-in: it loads and unloads models, answers completions with words that
//! follow from the prompt, and keeps a history of what it really did.

mod run;

use self::run::completions;
pub use self::run::word;
use limehollow::plan::Action;
use limehollow_edge::settings::{Invalid, Settings, check_address, check_name, check_range};
use limehollow_wire::engine::{
    AcceleratorState, Fence, Fenced, ModelState, Phase, State, WireOrder,
};
use limehollow_wire::platform::WeightLoad;
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// How many prompt beginnings the cache holds.
const CACHE_LEN: usize = 64;
/// How many bytes of a prompt make its beginning.
const PREFIX_LEN: usize = 64;

/// The settings of a model engine's stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name.
    pub name: String,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
    /// The platform, for the weight store, as `IP:PORT`.
    pub platform: String,
    /// The memory of each accelerator, in bytes.
    pub accelerators: Vec<u64>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// How many requests it works on at once.
    pub slots: u32,
    /// The time to the first token, in milliseconds; a cached beginning takes a quarter.
    pub first_token_ms: u64,
    /// The time between tokens, in milliseconds.
    pub per_token_ms: u64,
    /// By how much its state report lags, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
}

impl Settings for EngineSettings {
    fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_address("address", &self.address)?;
        check_address("platform", &self.platform)?;
        check_range("slots", u64::from(self.slots), 1..=100_000)
    }
}

/// The faults that can be switched on by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// How many next orders are dropped without an answer.
    pub drop_orders: u32,
    /// How many next orders take effect but answer with an error.
    pub lose_order_answers: u32,
    /// Orders take effect later by this time, in milliseconds.
    pub order_delay_ms: u64,
    /// Orders arrive a second time after this time, in milliseconds; 0 is never.
    pub double_orders_after_ms: u64,
    /// How many next loads fail after they were accepted.
    pub fail_loads: u32,
    /// It answers nothing any more.
    pub frozen: bool,
    /// How many next streams break after [`Self::break_after`] tokens.
    pub break_streams: u32,
    /// See [`Self::break_streams`].
    pub break_after: u32,
    /// What it claims to have at work, whatever is true.
    pub claim_running: Option<u32>,
    /// It refuses all requests before running them.
    pub refuse: bool,
}

/// One thing that the engine really did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, in milliseconds since its start.
    pub at_ms: u64,
    /// `load`, `loaded`, `load-failed`, `unload`, `unloaded`, `refused-order`, `overcommit`, `run`,
    /// `cut` or `done`.
    pub kind: SmolStr,
    /// The model, as `NAME@VERSION` or `NAME`.
    pub model: SmolStr,
    /// The accelerator of an order's event.
    pub accelerator: u16,
    /// Memory taken on that accelerator after the event, in bytes.
    pub used: u64,
    /// The order's number, or the request's identity.
    pub id: SmolStr,
}

#[derive(Debug)]
struct Model {
    state: ModelState,
    cancel: CancellationToken,
}

#[derive(Debug, Default)]
struct Inner {
    accelerators: Vec<Vec<Model>>,
    fence: u64,
    faults: EngineFaults,
    running: BTreeMap<SmolStr, u32>,
    at_work: u32,
    waiting: u32,
    cache: VecDeque<u64>,
    history: Vec<Event>,
    /// Reports as they were, the oldest first, for the lag.
    reports: VecDeque<(Instant, State)>,
}

/// A model engine's stand-in.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    incarnation: u64,
    started: Instant,
    inner: Mutex<Inner>,
    slots: Semaphore,
    client: reqwest::Client,
}

impl Engine {
    /// Makes one with its settings. The incarnation has to differ from that of an earlier start.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't start.
    #[must_use]
    pub fn new(settings: EngineSettings, incarnation: u64) -> Arc<Self> {
        let accelerators = settings.accelerators.iter().map(|_| Vec::new()).collect();
        Arc::new(Self {
            slots: Semaphore::new(settings.slots as usize),
            incarnation,
            started: Instant::now(),
            inner: Mutex::new(Inner {
                accelerators,
                ..Inner::default()
            }),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("an HTTP client"),
            settings,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let address = self.settings.address.clone();
        let routes = Route::new()
            .at("/state", get(state))
            .at("/fence", post(fence))
            .at("/orders", post(orders))
            .at("/v1/completions", post(completions))
            .at("/v1/chat/completions", post(completions))
            .at("/faults", post(set_faults))
            .at("/history", get(history))
            .at("/healthz", get(healthz))
            .data(self);
        Server::new(TcpListener::bind(address)).run(routes).await
    }

    fn record(&self, inner: &mut Inner, kind: &str, model: SmolStr, acc: usize, id: SmolStr) {
        let used = inner.accelerators.get(acc).map_or(0, |a| used(a));
        let at_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let accelerator = u16::try_from(acc).unwrap_or(u16::MAX);
        inner.history.push(Event {
            at_ms,
            kind: kind.into(),
            model,
            accelerator,
            used,
            id,
        });
    }

    async fn freeze_point(&self) {
        while self.lock().faults.frozen {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn state(&self) -> State {
        let mut inner = self.lock();
        let accelerators = self
            .settings
            .accelerators
            .iter()
            .zip(&inner.accelerators)
            .map(|(capacity, models)| AcceleratorState {
                capacity: *capacity,
                models: models.iter().map(|m| m.state.clone()).collect(),
            })
            .collect();
        let now = Instant::now();
        let report = State {
            incarnation: self.incarnation,
            accelerators,
            running: inner.faults.claim_running.unwrap_or(inner.at_work),
            waiting: inner.waiting,
            slots: self.settings.slots,
            running_by_model: inner.running.clone(),
        };
        inner.reports.push_back((now, report));
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        while inner.reports.len() > 1 && inner.reports[1].0 + lag <= now {
            inner.reports.pop_front();
        }
        inner.reports[0].1.clone()
    }

    /// Takes an order if the fencing number and the place allow it, and starts to carry it out.
    fn take(self: &Arc<Self>, o: &WireOrder) -> Result<(), String> {
        let id: SmolStr = o.number.to_string().into();
        let label: SmolStr = format!("{}@{}", o.model, o.version).into();
        let acc = usize::from(o.accelerator);
        let mut inner = self.lock();
        let Some(&capacity) = self.settings.accelerators.get(acc) else {
            return Err(format!("there is no accelerator {acc}"));
        };
        if self.settings.checks_fencing && o.number < inner.fence {
            self.record(&mut inner, "refused-order", label, acc, id);
            return Err(format!("order {} is older than {}", o.number, inner.fence));
        }
        inner.fence = inner.fence.max(o.number);
        let at = inner.accelerators[acc]
            .iter()
            .position(|m| m.state.name == o.model && m.state.version == o.version);
        match (o.action, at) {
            (Action::Load, Some(_)) | (Action::Unload, None) => Ok(()),
            (Action::Load, None) => {
                let loading = ModelState {
                    name: o.model.clone(),
                    version: o.version.clone(),
                    bytes: o.bytes,
                    phase: Phase::Loading,
                };
                let cancel = CancellationToken::new();
                inner.accelerators[acc].push(Model {
                    state: loading,
                    cancel,
                });
                let over = used(&inner.accelerators[acc]) > capacity;
                let kind = if over { "overcommit" } else { "load" };
                self.record(&mut inner, kind, label, acc, id);
                tokio::spawn(Arc::clone(self).load(o.clone()));
                Ok(())
            }
            (Action::Unload, Some(at)) => {
                inner.accelerators[acc][at].state.phase = Phase::Unloading;
                inner.accelerators[acc][at].cancel.cancel();
                self.record(&mut inner, "unload", label.clone(), acc, id.clone());
                inner.accelerators[acc].remove(at);
                self.record(&mut inner, "unloaded", label, acc, id);
                Ok(())
            }
        }
    }

    async fn load(self: Arc<Self>, o: WireOrder) {
        let url = format!("http://{}/weights/load", self.settings.platform);
        let body = WeightLoad {
            model: o.model.clone(),
            version: o.version.clone(),
        };
        let read = self.client.post(url).json(&body).send().await;
        let read = read.is_ok_and(|r| r.status().is_success());
        let (id, acc) = (o.number.to_string().into(), usize::from(o.accelerator));
        let label = format!("{}@{}", o.model, o.version).into();
        let mut inner = self.lock();
        let fails = inner.faults.fail_loads > 0;
        inner.faults.fail_loads = inner.faults.fail_loads.saturating_sub(1);
        let same = |m: &Model| m.state.name == o.model && m.state.version == o.version;
        if fails || !read {
            inner.accelerators[acc].retain(|m| !same(m));
            self.record(&mut inner, "load-failed", label, acc, id);
            return;
        }
        if let Some(m) = inner.accelerators[acc].iter_mut().find(|m| same(m)) {
            m.state.phase = Phase::Ready;
            self.record(&mut inner, "loaded", label, acc, id);
        }
    }

    /// Gives the token that cuts requests of a ready model when it is unloaded.
    fn ready(inner: &Inner, model: &str) -> Option<CancellationToken> {
        let all = inner.accelerators.iter().flatten();
        let mut ready = all.filter(|m| m.state.name == model && m.state.phase == Phase::Ready);
        ready.next().map(|m| m.cancel.clone())
    }

    /// Gives the time to the first token, and remembers the prompt's beginning.
    fn first_token_time(&self, inner: &mut Inner, prompt: &str) -> Duration {
        let beginning = &prompt.as_bytes()[..prompt.len().min(PREFIX_LEN)];
        let key = beginning
            .iter()
            .fold(7_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(*b)));
        let hit = inner.cache.contains(&key);
        inner.cache.retain(|k| *k != key);
        inner.cache.push_back(key);
        if inner.cache.len() > CACHE_LEN {
            inner.cache.pop_front();
        }
        let ms = if hit {
            self.settings.first_token_ms / 4
        } else {
            self.settings.first_token_ms
        };
        Duration::from_millis(ms)
    }
}

fn used(models: &[Model]) -> u64 {
    models.iter().map(|m| m.state.bytes).sum()
}

#[handler]
async fn state(Data(engine): Data<&Arc<Engine>>) -> Json<State> {
    engine.freeze_point().await;
    Json(engine.state())
}

#[handler]
async fn fence(Data(engine): Data<&Arc<Engine>>, Json(f): Json<Fence>) -> Response {
    engine.freeze_point().await;
    let mut inner = engine.lock();
    if f.number < inner.fence {
        return (
            StatusCode::CONFLICT,
            format!("{} is in force\n", inner.fence),
        )
            .into_response();
    }
    inner.fence = f.number;
    Json(Fenced {
        incarnation: engine.incarnation,
    })
    .into_response()
}

#[handler]
async fn orders(Data(engine): Data<&Arc<Engine>>, Json(o): Json<WireOrder>) -> Response {
    engine.freeze_point().await;
    let (faults, dropped, lost) = {
        let mut inner = engine.lock();
        let f = inner.faults.clone();
        inner.faults.drop_orders = f.drop_orders.saturating_sub(1);
        inner.faults.lose_order_answers = f.lose_order_answers.saturating_sub(1);
        let (dropped, lost) = (f.drop_orders > 0, f.lose_order_answers > 0);
        (f, dropped, lost)
    };
    if dropped {
        return (StatusCode::GATEWAY_TIMEOUT, "lost\n").into_response();
    }
    if faults.double_orders_after_ms > 0 {
        let (engine, o) = (Arc::clone(engine), o.clone());
        let pause = Duration::from_millis(faults.double_orders_after_ms);
        tokio::spawn(async move {
            sleep(pause).await;
            let _second = engine.take(&o);
        });
    }
    if faults.order_delay_ms > 0 {
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            sleep(Duration::from_millis(faults.order_delay_ms)).await;
            let _late = engine.take(&o);
        });
        return (StatusCode::GATEWAY_TIMEOUT, "late\n").into_response();
    }
    match engine.take(&o) {
        Ok(()) if lost => (StatusCode::GATEWAY_TIMEOUT, "the answer was lost\n").into_response(),
        Ok(()) => (StatusCode::ACCEPTED, Json(json!({ "accepted": true }))).into_response(),
        Err(why) => (StatusCode::CONFLICT, format!("{why}\n")).into_response(),
    }
}

#[handler]
fn set_faults(Data(engine): Data<&Arc<Engine>>, Json(f): Json<EngineFaults>) -> StatusCode {
    engine.lock().faults = f;
    StatusCode::NO_CONTENT
}

#[handler]
fn history(Data(engine): Data<&Arc<Engine>>) -> Json<Vec<Event>> {
    Json(engine.lock().history.clone())
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}
