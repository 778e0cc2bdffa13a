//! Says how long VMs took to learn that endpoints leave, from the processes' lines.

use lexopt::prelude::*;
use limehollow_bench::departures::Departures;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

const USAGE: &str = "departures [--allowed-s N] < LINES";
/// What the small sites allow, in s.
const ALLOWED_S: f64 = 2.0;

fn main() -> ExitCode {
    let allowed_s = match allowed_s() {
        Ok(s) => s,
        Err(e) => {
            eprintln!("departures: {e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let lines: Result<Vec<String>, io::Error> = io::stdin().lock().lines().collect();
    let table = lines.map(|l| Departures::read(l, allowed_s));
    match table.and_then(|t| write!(io::stdout().lock(), "{t}")) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever reads the table has seen enough of it.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("departures: {e}");
            ExitCode::FAILURE
        }
    }
}

fn allowed_s() -> Result<f64, lexopt::Error> {
    let mut allowed_s = ALLOWED_S;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("allowed-s") => allowed_s = args.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    if !allowed_s.is_finite() || allowed_s < 0.0 {
        return Err("--allowed-s must be zero or more".into());
    }
    Ok(allowed_s)
}
