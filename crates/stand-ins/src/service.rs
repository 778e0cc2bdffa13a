//! A plain service's stand-in: it echoes, and keeps a history of what it ran.

use limehollow_edge::settings::{Invalid, Settings, check_address, check_name};
use limehollow_wire::engine::State;
use poem::http::{HeaderMap, Method, StatusCode, Uri};
use poem::listener::TcpListener;
use poem::web::{Data, Json};
use poem::{Body, EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The settings of a plain service's stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
}

impl Settings for ServiceSettings {
    fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_address("address", &self.address)
    }
}

/// The faults that can be switched on by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Answers come later by this time, in milliseconds; the request runs at once.
    pub delay_ms: u64,
    /// How many next requests run but are answered with a body that breaks off.
    pub break_bodies: u32,
    /// How many next requests run and are answered with a failure.
    pub fail: u32,
}

/// One request that really ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// The method.
    pub method: SmolStr,
    /// The path and query.
    pub path: SmolStr,
    /// The caller's request identity.
    pub id: SmolStr,
    /// The idempotency key, if there was one.
    pub key: SmolStr,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    ran: Vec<Ran>,
}

/// A plain service's stand-in.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    incarnation: u64,
    inner: Mutex<Inner>,
}

impl Service {
    /// Makes one with its settings. The incarnation has to differ from that of an earlier start.
    #[must_use]
    pub fn new(settings: ServiceSettings, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            settings,
            incarnation,
            inner: Mutex::default(),
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
            .at("/history", get(history))
            .at("/faults", post(set_faults))
            .at("/*path", echo)
            .data(self);
        Server::new(TcpListener::bind(address)).run(routes).await
    }
}

#[handler]
fn state(Data(s): Data<&Arc<Service>>) -> Json<State> {
    Json(State {
        incarnation: s.incarnation,
        accelerators: Vec::new(),
        running: 0,
        waiting: 0,
        slots: 64,
        running_by_model: BTreeMap::new(),
    })
}

#[handler]
fn history(Data(s): Data<&Arc<Service>>) -> Json<Vec<Ran>> {
    Json(s.lock().ran.clone())
}

#[handler]
fn set_faults(Data(s): Data<&Arc<Service>>, Json(f): Json<ServiceFaults>) -> StatusCode {
    s.lock().faults = f;
    StatusCode::NO_CONTENT
}

#[handler]
async fn echo(
    Data(s): Data<&Arc<Service>>,
    method: Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: String,
) -> Response {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .into()
    };
    let path: SmolStr = uri.path_and_query().map_or("", |p| p.as_str()).into();
    let (faults, number) = {
        let mut inner = s.lock();
        let (id, key) = (text("x-request-id"), text("idempotency-key"));
        inner.ran.push(Ran {
            method: method.as_str().into(),
            path: path.clone(),
            id,
            key,
        });
        let f = inner.faults.clone();
        inner.faults.break_bodies = f.break_bodies.saturating_sub(1);
        inner.faults.fail = f.fail.saturating_sub(1);
        (f, inner.ran.len())
    };
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.fail > 0 {
        return (StatusCode::INTERNAL_SERVER_ERROR, "failed after running\n").into_response();
    }
    let answer = format!(
        "{} {method} {path} ran as number {number}: {body}\n",
        s.settings.name
    );
    if faults.break_bodies > 0 {
        // Fewer bytes than were promised: the connection has to break off.
        let promised = (answer.len() + 10).to_string();
        let parts = [Ok(answer), Err(std::io::Error::other("broken off"))];
        return Response::builder()
            .header("content-length", promised)
            .body(Body::from_bytes_stream(futures_util::stream::iter(parts)));
    }
    Response::builder()
        .header("x-receipt", number.to_string())
        .body(answer)
}
