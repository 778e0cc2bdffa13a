//! Starts the tasks of the process.

use crate::counting_store::CountingStore;
use crate::edge::{Feed, Protocol, Store};
use crate::peer_state::HttpStates;
use crate::settings::NodeSettings;
use crate::site::Site;
use crate::{
    caller, controller, follow, gossip, keys, limits, operator, own_delay, peer_state,
    quarantine_sync, resumption, start, traffic,
};
use limehollow_edge::admin::{self, Admin, DumpRequest, Readiness};
use limehollow_edge::error::{ListenSnafu, Result};
use limehollow_edge::process::stop_signal;
use limehollow_edge::settings;
use socket2::SockRef;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::interval;

/// How often the settings file is checked for changes: it may change without a signal.
const CHECK_SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// How often the readiness and the gauges that operators see are updated.
const UPDATE_METRICS_EVERY: Duration = Duration::from_secs(1);
/// The receive buffer of a connection that callers or other VMs open, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;
/// The largest number of pending requests for a dump.
const MAX_PENDING_DUMPS: usize = 4;

/// Runs the process until it is asked to stop.
///
/// # Errors
///
/// [`limehollow_edge::Error::Listen`] if an address can't be listened on.
pub async fn run<P, S>(path: PathBuf, settings: NodeSettings, protocol: P, store: S) -> Result<()>
where
    P: Protocol + Unpin,
    S: Store,
{
    tracing::info!(
        vm = settings.name,
        zone = settings.availability_zone,
        version = env!("CARGO_PKG_VERSION"),
        "start"
    );
    let callers = listen(&settings.address).await?;
    bound_unread(&callers);
    let balancer = listen(&settings.readiness_address).await?;
    let peers = settings.peer_address();
    let socket = UdpSocket::bind(peers)
        .await
        .map_err(|e| failed(&peers.to_string(), &e))?;
    let states = listen(&peers.to_string()).await?;
    bound_unread(&states);
    let site = Site::new(settings, protocol);
    let gossip_socket = Arc::new(gossip::GossipSocket::new(Arc::clone(&site), socket));
    let store = CountingStore::new(store, &site.metrics);
    let (stop_tx, stop) = watch::channel(false);
    let wake_controller = Arc::new(Notify::new());
    tokio::spawn(start_followers(Arc::clone(&site), store.clone()));
    tokio::spawn(start::announce(Arc::clone(&site), store.clone()));
    tokio::spawn(quarantine_sync::sync_with_peers(
        Arc::clone(&site),
        HttpStates,
    ));
    tokio::spawn(gossip::send(
        Arc::clone(&site),
        Arc::clone(&gossip_socket),
        Arc::clone(&wake_controller),
    ));
    tokio::spawn(gossip::send_questions(
        Arc::clone(&site),
        Arc::clone(&gossip_socket),
    ));
    tokio::spawn(gossip::send_origins(
        Arc::clone(&site),
        Arc::clone(&gossip_socket),
    ));
    tokio::spawn(gossip::send_slots(
        Arc::clone(&site),
        Arc::clone(&gossip_socket),
    ));
    tokio::spawn(resumption::complete_history(Arc::clone(&site)));
    tokio::spawn(keys::confirm(Arc::clone(&site)));
    tokio::spawn(limits::collect_earnings(Arc::clone(&site)));
    tokio::spawn(gossip::receive(
        Arc::clone(&site),
        gossip_socket,
        Arc::clone(&wake_controller),
    ));
    tokio::spawn(gossip::sweep(Arc::clone(&site)));
    tokio::spawn(traffic::log_totals(Arc::clone(&site)));
    tokio::spawn(own_delay::measure(Arc::clone(&site)));
    tokio::spawn(controller::run(
        Arc::clone(&site),
        store,
        wake_controller,
        stop.clone(),
    ));
    tokio::spawn(peer_state::serve(Arc::clone(&site), states));
    tokio::spawn(caller::serve_readiness(Arc::clone(&site), balancer));
    tokio::spawn(serve_admin(Arc::clone(&site)));
    tokio::spawn(reload(Arc::clone(&site), path));
    tokio::spawn(stop_on_signal(Arc::clone(&site), stop_tx));
    caller::serve(site, callers, stop).await;
    tracing::info!("stop");
    Ok(())
}

/// Fetches the site's state, then follows the feeds of the store.
async fn start_followers<P, S>(site: Arc<Site<P>>, store: S)
where
    P: Protocol,
    S: Store,
{
    start::start(&site, &HttpStates).await;
    for feed in [Feed::Configuration, Feed::Endpoints, Feed::Vms] {
        let (site, store) = (Arc::clone(&site), store.clone());
        tokio::spawn(follow::follow(site, store, HttpStates, feed));
    }
    quarantine_sync::persist(site, store).await;
}

async fn listen(address: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| failed(address, &e))
}

/// Bounds what the system holds of bytes that lie unread in connections that a listener accepts. Otherwise it holds
/// megabytes for each.
fn bound_unread(listener: &TcpListener) {
    if let Err(e) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER) {
        tracing::warn!(error = %e, "the receive buffers of connections can't be bounded");
    }
}

fn failed(address: &str, e: &std::io::Error) -> limehollow_edge::Error {
    ListenSnafu {
        address,
        why: e.to_string(),
    }
    .build()
}

async fn stop_on_signal<P>(site: Arc<Site<P>>, stop: watch::Sender<bool>)
where
    P: Protocol,
{
    stop_signal().await;
    tracing::info!("stopping: not ready any more");
    site.stop();
    let _nobody = stop.send(true);
    // The sender has to live until the process ends.
    std::future::pending::<()>().await;
}

/// Serves metrics and a dump of the state, and keeps them up to date.
async fn serve_admin<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let settings = site.settings.load_full();
    let address = SocketAddr::new(settings.ip, settings.admin_port).to_string();
    let (ready_tx, ready) = watch::channel(Readiness::Not("starting".to_owned()));
    let (dumps, mut dump_requests) = mpsc::channel::<DumpRequest>(MAX_PENDING_DUMPS);
    let admin = Admin {
        registry: Arc::new(site.metrics.registry()),
        ready,
        dumps,
    };
    let forever = std::future::pending();
    let routes = operator::routes(&site);
    tokio::spawn(async move {
        if let Err(e) = admin::serve(&address, admin, routes, forever).await {
            tracing::error!(error = %e, "failed to serve the admin address");
        }
    });
    let mut ticks = interval(UPDATE_METRICS_EVERY);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = if site.is_ready() {
                    Readiness::Ready
                } else {
                    Readiness::Not("no configuration, no endpoints, or told to end".to_owned())
                };
                ready_tx.send_replace(now);
                site.update_quarantine_metrics();
                site.update_backpressure_metrics();
                site.update_request_memory_metrics();
            }
            Some(d) = dump_requests.recv() => {
                // The requester may be gone.
                let _gone = d.send(site.dump());
            }
        }
    }
}

/// Reloads the settings on SIGHUP, or when the file has changed.
async fn reload<P>(site: Arc<Site<P>>, path: PathBuf)
where
    P: Protocol,
{
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(s) => s,
        Err(e) => {
            tracing::error!(error = %e, "failed to listen for SIGHUP");
            return;
        }
    };
    let mut ticks = interval(CHECK_SETTINGS_EVERY);
    let mut last_modified = modified(&path);
    loop {
        let by_signal = tokio::select! {
            _ = ticks.tick() => false,
            _ = hup.recv() => true,
        };
        let at = modified(&path);
        if !by_signal && at == last_modified {
            continue;
        }
        last_modified = at;
        match settings::load::<NodeSettings>(&path) {
            Ok(s) => {
                tracing::info!(told = by_signal, "settings read again");
                site.settings.store(Arc::new(s));
            }
            Err(e) => {
                tracing::warn!(error = %e, "the settings are invalid; keeping the previous ones");
            }
        }
    }
}

fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
