//! The stand-ins and the cases of the second review. `review-2 worker ...` is a worker's process;
//! `review-2 CASE PROGRAM RECORD` plays a case with the program of the deploy file and writes what was seen.

mod client;
mod http;
mod revoked;
mod site;
mod store;
mod storm;
mod worker;

use std::path::Path;
use std::process::ExitCode;

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let outcome = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["worker", ..] => worker::run(&args[1..]).map(|()| Found::Held),
        ["revoked", program, record] => {
            revoked::play(Path::new(program), Path::new(record), has_trouble)
        }
        ["storm", program, record] => {
            storm::play(Path::new(program), Path::new(record), has_trouble)
        }
        _ => Err(std::io::Error::other("which case?")),
    };
    match outcome {
        Ok(Found::Held) => ExitCode::SUCCESS,
        Ok(Found::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
