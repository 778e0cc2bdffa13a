//! How the stand-ins start.

use limehollow_edge::args::Program;
use limehollow_edge::settings::{Settings, load};
use limehollow_edge::{Exit, logs};
use std::process::ExitCode;

/// Reads the command line and the settings, then runs until the process is ended.
pub async fn run<S, F, R>(name: &'static str, about: &'static str, f: F) -> ExitCode
where
    S: Settings,
    F: FnOnce(S) -> R,
    R: Future<Output = std::io::Result<()>>,
{
    let program = Program {
        name,
        version: env!("CARGO_PKG_VERSION"),
        about,
    };
    let args = match program.parse_or_exit() {
        Ok(args) => args,
        Err(exit) => return exit.into(),
    };
    let started =
        logs::start(args.log_format, &args.log_level).and_then(|()| load::<S>(&args.settings));
    let settings = match started {
        Ok(s) => s,
        Err(e) => {
            eprintln!("{name}: {e}");
            return Exit::from(&e).into();
        }
    };
    if args.check {
        return Exit::Ok.into();
    }
    match f(settings).await {
        Ok(()) => Exit::Ok.into(),
        Err(e) => {
            eprintln!("{name}: {e}");
            Exit::Failed.into()
        }
    }
}
