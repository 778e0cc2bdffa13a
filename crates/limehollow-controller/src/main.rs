//! Entry point of the controller process: starts the threads, the admin port and the control loop.

use limehollow_controller::control::Control;
use limehollow_controller::event::Event;
use limehollow_controller::io::Io;
use limehollow_controller::metrics::Metrics;
use limehollow_controller::settings::ControllerSettings;
use limehollow_edge::Result;
use limehollow_edge::admin::{self, Admin, Readiness};
use limehollow_edge::args::Program;
use limehollow_edge::error::ListenSnafu;
use limehollow_edge::process::{daemon, incarnation, stop_signal};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

const PROGRAM: Program = Program {
    name: "limehollow-controller",
    version: env!("CARGO_PKG_VERSION"),
    about: "Plans placements and carries out orders for one availability zone.",
};
const EVENT_CAPACITY: usize = 1024;

fn main() -> ExitCode {
    daemon(&PROGRAM, run)
}

fn run(settings: ControllerSettings) -> Result<()> {
    let failed = |e: std::io::Error| {
        ListenSnafu {
            address: "threads",
            why: e.to_string(),
        }
        .build()
    };
    let io_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("io")
        .enable_all()
        .build()
        .map_err(failed)?;
    let control_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(failed)?;
    let metrics = Metrics::default();
    let (events_tx, events_rx) = mpsc::channel(EVENT_CAPACITY);
    let (ready_tx, ready_rx) = watch::channel(Readiness::Not("starting".to_owned()));
    let (dumps_tx, mut dumps_rx) = mpsc::channel(4);
    let admin = Admin {
        registry: Arc::new(metrics.registry()),
        ready: ready_rx,
        dumps: dumps_tx,
    };
    let admin_address = settings.admin_address.clone();
    let platform = &settings.platform_address;
    let io = Io::new(
        io_runtime.handle().clone(),
        events_tx.clone(),
        platform,
        metrics.clone(),
    )?;
    io.start(limehollow::id::Offset(0), settings.peer_address.clone());
    let dump_events = events_tx.clone();
    io_runtime.spawn(async move {
        while let Some(d) = dumps_rx.recv().await {
            let _stopped = dump_events.send(Event::Dump(d)).await;
        }
    });
    let served = io_runtime.spawn(async move {
        let res = admin::serve(&admin_address, admin, poem::Route::new(), stop_signal()).await;
        // Stops the control thread both after a signal closed the port and if the port never opened.
        let _stopped = events_tx.send(Event::Stop).await;
        res
    });
    let control = Control::new(settings, incarnation(), io, metrics, ready_tx);
    control_runtime.block_on(control.run(events_rx));
    control_runtime.block_on(served).unwrap_or(Ok(()))
}
