//! The start and stop of daemons.

use crate::args::{Args, Program};
use crate::error::{Exit, Result};
use crate::logs;
use crate::settings::{Settings, load};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};

/// Parses the command line, starts the logs and reads the settings.
///
/// # Errors
///
/// Returns the exit code if the process must exit; the reason has been printed.
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

/// Reads the settings, runs a daemon with them and returns the exit code.
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

/// Returns the incarnation of a process that starts now.
///
/// The wall clock is sufficient, as an incarnation only has to be greater than those of earlier processes
/// on the same VM.
#[must_use]
pub fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the signal handlers can't be installed.
pub async fn stop_signal() {
    let mut term = signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut int = signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
