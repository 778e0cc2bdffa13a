//! A small stand-in for the platform: log, membership list, weight store.

use stand_ins::platform::{Platform, PlatformSettings};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let about = "A small stand-in for the platform: log, membership list, weight store.";
    stand_ins::run::run("stand-in-platform", about, |s: PlatformSettings| {
        Platform::new(s).serve()
    })
    .await
}
