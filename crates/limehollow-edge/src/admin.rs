//! The HTTP admin port: `/healthz`, `/readyz`, `/metrics` and `/dump`.

use crate::error::{ListenSnafu, Result};
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::web::Data;
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler};
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to the control thread for a dump of its state; the dump is sent through the channel.
pub type DumpRequest = oneshot::Sender<serde_json::Value>;

/// Whether this process should receive traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process is ready.
    Ready,
    /// The process isn't ready, for this reason.
    Not(String),
}

/// The data that the admin port serves.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The metrics that `/metrics` returns.
    pub registry: Arc<Registry>,
    /// The readiness that `/readyz` returns.
    pub ready: watch::Receiver<Readiness>,
    /// The channel for dump requests.
    pub dumps: mpsc::Sender<DumpRequest>,
}

/// Serves the admin port, with `more` as additional routes, until `signal` completes.
///
/// # Errors
///
/// Returns [`crate::Error::Listen`] if the address can't be listened on.
pub async fn serve<S>(address: &str, admin: Admin, more: Route, signal: S) -> Result<()>
where
    S: Future<Output = ()>,
{
    let routes = more
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/dump", get(dump))
        .data(admin);
    Server::new(TcpListener::bind(address.to_owned()))
        .idle_timeout(Duration::from_secs(30))
        .run_with_graceful_shutdown(routes, signal, Some(Duration::from_secs(1)))
        .await
        .map_err(|e| {
            ListenSnafu {
                address,
                why: e.to_string(),
            }
            .build()
        })
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn readyz(Data(admin): Data<&Admin>) -> Response {
    match &*admin.ready.borrow() {
        Readiness::Ready => "ready\n".into_response(),
        Readiness::Not(why) => (
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {why}\n"),
        )
            .into_response(),
    }
}

#[handler]
fn metrics(Data(admin): Data<&Admin>) -> Response {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ok = prometheus_client::encoding::text::encode(&mut text, &admin.registry);
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Response::builder().content_type(kind).body(text)
}

#[handler]
async fn dump(Data(admin): Data<&Admin>) -> Response {
    let (tx, rx) = oneshot::channel();
    let asked = admin.dumps.send(tx).await.is_ok();
    let answer = tokio::time::timeout(DUMP_TIMEOUT, rx).await;
    match answer {
        Ok(Ok(value)) if asked => Response::builder()
            .content_type("application/json")
            .body(format!("{value:#}\n")),
        _ => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the control thread does not answer\n",
        )
            .into_response(),
    }
}
