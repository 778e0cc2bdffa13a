//! Says where service was lost in a played day, from the processes' lines.

use lexopt::prelude::*;
use limehollow_bench::losses::{Bounds, Losses};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

const USAGE: &str = "losses [--objective-ms N] [--pause-ms N] [--window-s N] < LINES";

fn main() -> ExitCode {
    let bounds = match bounds() {
        Ok(b) => b,
        Err(e) => {
            eprintln!("losses: {e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let lines: Result<Vec<String>, io::Error> = io::stdin().lock().lines().collect();
    let written = lines.and_then(|l| write!(io::stdout().lock(), "{}", Losses::read(l, bounds)));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever reads the table has seen enough of it.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("losses: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the arguments; the defaults are the tightest objective and pause of today's sites.
fn bounds() -> Result<Bounds, lexopt::Error> {
    let mut b = Bounds {
        objective_ms: 400,
        pause_ms: 250,
        window_s: 2.0,
    };
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("objective-ms") => b.objective_ms = args.value()?.parse()?,
            Long("pause-ms") => b.pause_ms = args.value()?.parse()?,
            Long("window-s") => b.window_s = args.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    if !b.window_s.is_finite() || b.window_s <= 0.0 {
        return Err("--window-s must be above 0".into());
    }
    Ok(b)
}
