//! The operators' command line.

use limectl::args::{HELP, Parsed, parse};
use limectl::command::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    let call = match parse(std::env::args_os().skip(1)) {
        Ok(Parsed::Run(call)) => call,
        Ok(Parsed::Help) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Parsed::Version) => {
            println!("limectl {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("limectl: {e}");
            return limehollow_edge::Exit::Usage.into();
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(rt) => rt,
        Err(e) => {
            eprintln!("limectl: {e}");
            return limehollow_edge::Exit::Failed.into();
        }
    };
    match runtime.block_on(run(&call)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("limectl: {e}");
            e.exit().into()
        }
    }
}
