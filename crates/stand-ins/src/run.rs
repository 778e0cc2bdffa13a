//! How the stand-ins start.

use limehollow_edge::args::Program;
use limehollow_edge::settings::{Settings, load};
use limehollow_edge::{Exit, logs};
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST_PORT: u16 = 12_000;
/// How many ports one process may use.
const PORTS: u16 = 330;

/// Gives an address on loopback that nobody listens on, for tests.
///
/// The ports lie below those that the system gives to outgoing connections, and no two calls of a
/// process give the same.
///
/// # Panics
///
/// Never: the numbers are small.
#[must_use]
pub fn free_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + u16::try_from(std::process::id() % 60).expect("small") * PORTS;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

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
