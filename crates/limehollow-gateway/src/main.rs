//! The `limehollow-gateway` program: starts the traffic threads and runs the control thread.

use arc_swap::ArcSwap;
use limehollow::id::{Offset, VmName, ZoneName};
use limehollow::routing::Table;
use limehollow_edge::Result;
use limehollow_edge::admin::{self, Admin, Readiness};
use limehollow_edge::args::Program;
use limehollow_edge::error::ListenSnafu;
use limehollow_edge::follow::{snapshot, tail};
use limehollow_edge::log::HttpLog;
use limehollow_edge::members::HttpMembers;
use limehollow_edge::peer::{self, PeerClient};
use limehollow_edge::process::{daemon, incarnation, stop_signal};
use limehollow_gateway::caller;
use limehollow_gateway::claims::{ClaimClient, ClaimTask, GatewayIdentity};
use limehollow_gateway::control::{Control, Event};
use limehollow_gateway::limit::LimitedAcceptor;
use limehollow_gateway::metrics::Metrics;
use limehollow_gateway::settings::GatewaySettings;
use limehollow_gateway::shared::Shared;
use limehollow_gateway::shared_admission::SharedAdmission;
use limehollow_wire::peer::{Reply, Request};
use poem::Server;
use poem::listener::TcpAcceptor;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

const PROGRAM: Program = Program {
    name: "limehollow-gateway",
    version: env!("CARGO_PKG_VERSION"),
    about: "Takes callers' requests and routes them to endpoints.",
};
const EVENT_CAPACITY: usize = 256;
const LIST_EVERY: Duration = Duration::from_secs(1);
const NEWS_EVERY: Duration = Duration::from_millis(500);
const NEWS_TIMEOUT: Duration = Duration::from_millis(800);
const STATE_TIMEOUT: Duration = Duration::from_secs(3);
const COUNT_EVERY: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    daemon(&PROGRAM, run)
}

fn run(settings: GatewaySettings) -> Result<()> {
    let failed = |e: std::io::Error| {
        ListenSnafu {
            address: "threads",
            why: e.to_string(),
        }
        .build()
    };
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(failed)?;
    let control = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(failed)?;
    let (events_tx, events_rx) = mpsc::channel(EVENT_CAPACITY);
    let (ready_tx, ready_rx) = watch::channel(Readiness::Not("starting".to_owned()));
    let table = Arc::new(ArcSwap::from_pointee(Table::default()));
    let zone = ZoneName::from(settings.availability_zone.as_str());
    let vm = VmName::from(settings.name.as_str());
    let own_incarnation = incarnation();
    let admission = SharedAdmission::new(zone.clone(), Arc::clone(&table));
    let metrics = Metrics::default();
    let identity = GatewayIdentity {
        vm: vm.clone(),
        incarnation: own_incarnation,
        address: settings.peer_address.clone(),
    };
    let log = HttpLog::new(&settings.platform_address)?;
    let claims = ClaimTask::new(log.clone(), identity, settings.claims, metrics.clone());
    let claim_client = claims.claim_client();
    let (table2, admission2) = (Arc::clone(&table), Arc::clone(&admission));
    let shared = Shared::new(
        settings,
        table2,
        admission2,
        claim_client.clone(),
        metrics.clone(),
    )?;
    let shared = Arc::new(shared);

    traffic.spawn(claims.run());
    traffic.spawn(Arc::clone(&admission).run());
    traffic.spawn(follow_log(log, events_tx.clone()));
    let members = HttpMembers::new(&shared.settings.platform_address)?;
    traffic.spawn(follow_list(members, events_tx.clone()));
    traffic.spawn(follow_controller(Arc::clone(&shared), events_tx.clone()));
    traffic.spawn(serve_peers(
        shared.settings.peer_address.clone(),
        claim_client,
    ));
    traffic.spawn(count_connections(Arc::clone(&shared)));
    let served = traffic.spawn(serve(Arc::clone(&shared), ready_rx, events_tx));
    let state = Control::new(
        (vm, zone, own_incarnation),
        table,
        admission,
        metrics,
        ready_tx,
    );
    control.block_on(state.run(events_rx));
    control.block_on(served).unwrap_or(Ok(()))
}

/// Serves callers and operators until a stop signal. Then shuts down in order: the process reports
/// that it is not ready, stops accepting connections, and completes the requests in progress.
async fn serve(
    shared: Arc<Shared>,
    ready: watch::Receiver<Readiness>,
    events: mpsc::Sender<Event>,
) -> Result<()> {
    let (dumps_tx, mut dumps_rx) = mpsc::channel(4);
    let dump_events = events.clone();
    tokio::spawn(async move {
        while let Some(d) = dumps_rx.recv().await {
            let _stopped = dump_events.send(Event::Dump(d)).await;
        }
    });
    let registry = Arc::new(shared.metrics.registry());
    let admin = Admin {
        registry,
        ready,
        dumps: dumps_tx,
    };
    let (ended_tx, mut ended_rx) = watch::channel(false);
    let admin_address = shared.settings.admin_address.clone();
    let admin_served = tokio::spawn(async move {
        let ended = async move {
            let _dropped = ended_rx.wait_for(|e| *e).await;
        };
        admin::serve(&admin_address, admin, poem::Route::new(), ended).await
    });
    let res = serve_callers(&shared, &events).await;
    let _gone = ended_tx.send(true);
    let _stopped = events.send(Event::Stop).await;
    res.and(admin_served.await.unwrap_or(Ok(())))
}

async fn serve_callers(shared: &Arc<Shared>, events: &mpsc::Sender<Event>) -> Result<()> {
    let s = &shared.settings;
    let address = s.address.as_str();
    let failed = |e: std::io::Error| {
        ListenSnafu {
            address,
            why: e.to_string(),
        }
        .build()
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let acceptor = TcpAcceptor::from_tokio(listener).map_err(failed)?;
    let acceptor = LimitedAcceptor::new(
        acceptor,
        Arc::clone(&shared.connections),
        s.limits.connections,
    );
    let grace = Duration::from_millis(s.stop_grace_ms);
    let stop = async {
        stop_signal().await;
        tracing::info!("stopping: not ready any more");
        let _stopped = events.send(Event::Stopping).await;
        sleep(grace).await;
    };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(Duration::from_millis(s.limits.idle_ms))
        .run_with_graceful_shutdown(caller::routes(Arc::clone(shared)), stop, None)
        .await
        .map_err(failed)
}

async fn follow_log(log: HttpLog, events: mpsc::Sender<Event>) {
    let (tx, mut rx) = mpsc::channel(4);
    tokio::spawn(tail(log, Offset(0), tx));
    while let Some(batch) = rx.recv().await {
        if events.send(Event::Log(batch)).await.is_err() {
            return;
        }
    }
}

async fn follow_list(members: HttpMembers, events: mpsc::Sender<Event>) {
    loop {
        if let Ok(listing) = members.list().await
            && events.send(Event::List(listing.rows)).await.is_err()
        {
            return;
        }
        sleep(LIST_EVERY).await;
    }
}

/// Fetches the state of the controller on this VM once, since the log may be unreachable, and then
/// polls the controller for updates. Each poll reports the unmet demand since the last one.
async fn follow_controller(shared: Arc<Shared>, events: mpsc::Sender<Event>) {
    let mut client = PeerClient::new(&shared.settings.controller_address);
    let mut has_state = false;
    let mut reported_at = Instant::now();
    loop {
        if !has_state
            && let Ok(Reply::State(Some(text))) =
                client.request(&Request::State, STATE_TIMEOUT).await
            && let Ok(Some((next, fleet))) = snapshot(&text)
        {
            has_state = true;
            if events
                .send(Event::State(next, Box::new(fleet)))
                .await
                .is_err()
            {
                return;
            }
        }
        let demand = shared.unmet_demand.drain(reported_at.elapsed());
        reported_at = Instant::now();
        if let Ok(Reply::News(news)) = client.request(&Request::News(demand), NEWS_TIMEOUT).await
            && events.send(Event::News(news)).await.is_err()
        {
            return;
        }
        sleep(NEWS_EVERY).await;
    }
}

async fn serve_peers(address: String, claim_client: ClaimClient) {
    let answer = |req| {
        let claim_client = claim_client.clone();
        async move {
            match req {
                Request::Claim {
                    incarnation,
                    number,
                } => Some(Reply::Claim(claim_client.fate(incarnation, number).await)),
                _ => None,
            }
        }
    };
    if let Err(e) = peer::serve(&address, answer).await {
        tracing::error!(error = %e, "serving other gateways on the peer address failed");
    }
}

async fn count_connections(shared: Arc<Shared>) {
    loop {
        let open = shared.connections.open();
        shared
            .metrics
            .connections
            .set(i64::try_from(open).unwrap_or(i64::MAX));
        sleep(COUNT_EVERY).await;
    }
}
