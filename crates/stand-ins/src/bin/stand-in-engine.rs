//! A small stand-in for a model engine.

use limehollow_edge::process::incarnation;
use stand_ins::engine::{Engine, EngineSettings};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let about = "A small stand-in for a model engine.";
    stand_ins::run::run("stand-in-engine", about, |s: EngineSettings| {
        Engine::new(s, incarnation()).serve()
    })
    .await
}
