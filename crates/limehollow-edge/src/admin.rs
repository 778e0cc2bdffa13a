//! The administration port: `/healthz`, `/readyz`, `/metrics` and `/dump`.

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

/// Asks the thread of the control state for all that it knows.
pub type DumpRequest = oneshot::Sender<serde_json::Value>;

/// Whether this process should get traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It should.
    Ready,
    /// It should not, and why.
    Not(String),
}

/// What the port shows.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The metrics.
    pub registry: Arc<Registry>,
    /// Whether the process is ready.
    pub ready: watch::Receiver<Readiness>,
    /// Where dumps are asked for.
    pub dumps: mpsc::Sender<DumpRequest>,
}

/// Serves the port until the signal, with further routes of the process's own.
///
/// # Errors
///
/// [`crate::Error::Listen`] if the address can't be listened on.
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
    // Writing to a string doesn't fail.
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
