//! A small stand-in for a plain service.

use limehollow_edge::process::incarnation;
use stand_ins::service::{Service, ServiceSettings};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let about = "A small stand-in for a plain service.";
    stand_ins::run::run("stand-in-service", about, |s: ServiceSettings| {
        Service::new(s, incarnation()).serve()
    })
    .await
}
