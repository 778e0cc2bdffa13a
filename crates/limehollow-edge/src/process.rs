//! What all daemons do when they start and stop.

use crate::args::{Args, Program};
use crate::error::{Exit, Result};
use crate::logs;
use crate::settings::{Settings, load};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};

/// Reads the command line and the settings, and starts the logs.
///
/// # Errors
///
/// The exit code to end with; the reason has been printed.
fn start<S>(program: &Program) -> Result<(Args, S), Exit>
where
    S: Settings,
{
    let args = program.parse_or_exit()?;
    let loaded = logs::start(args.log_format, &args.log_level).and_then(|()| load(&args.settings));
    let settings: S = loaded.map_err(|e| {
        eprintln!("{}: {e}", program.name);
        Exit::from(&e)
    })?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Err(Exit::Ok);
    }
    Ok((args, settings))
}

/// Starts a daemon, runs it, and gives the exit code.
pub fn daemon<S, F>(program: &Program, run: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S) -> Result<()>,
{
    let settings = match start(program) {
        Ok((_, s)) => s,
        Err(exit) => return exit.into(),
    };
    match run(settings) {
        Ok(()) => Exit::Ok.into(),
        Err(e) => {
            eprintln!("{}: {e}", program.name);
            Exit::from(&e).into()
        }
    }
}

/// Gives the incarnation of a process that starts now.
///
/// It only has to differ from, and be above, that of an earlier life on the same VM, so the wall
/// clock will do.
#[must_use]
pub fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Waits until this process is told to stop, by SIGTERM or SIGINT.
///
/// # Panics
///
/// If the process can't listen to signals at all.
pub async fn stop_signal() {
    let mut term = signal(SignalKind::terminate()).expect("signals can be listened to");
    let mut int = signal(SignalKind::interrupt()).expect("signals can be listened to");
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
