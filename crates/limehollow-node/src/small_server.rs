//! A minimal HTTP server for the load balancer's readiness checks and for other VMs.

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The pause after a connection could not be accepted, as when the process has run out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves requests until the process ends. `who` names the clients in log lines; `idle` is the idle timeout of a
/// connection.
pub(crate) async fn serve<F, A, B>(
    listener: TcpListener,
    who: &'static str,
    idle: Duration,
    answer: F,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<B>> + Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
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
            if let Err(e) = stream.set_nodelay(true) {
                tracing::debug!(who, error = %e, "can't set TCP_NODELAY");
            }
            let service = service_fn(|req: Request<Incoming>| {
                let answered = answer(req);
                async { Ok::<_, Infallible>(answered.await) }
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
