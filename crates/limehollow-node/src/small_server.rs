//! A minimal HTTP server whose answers depend only on the path; it serves readiness checks and this VM's state.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The pause after a connection could not be accepted, as when the process has run out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves requests until the process ends. `who` names the clients in log lines; `idle` is the idle timeout of a
/// connection.
pub(crate) async fn serve<F>(listener: TcpListener, who: &'static str, idle: Duration, answer: F)
where
    F: Fn(&str) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(who, error = %e, "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let service = service_fn(|req: Request<Incoming>| {
                std::future::ready(Ok::<_, Infallible>(answer(req.uri().path())))
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                tracing::debug!(who, error = %e, "a connection ended");
            }
        });
    }
}
