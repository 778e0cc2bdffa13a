//! Measures a decision of the queue of waiting requests, and the memory of a waiting request.

use limehollow_bench::waiting::{MODELS, WAITING, decision_cost};

fn main() {
    let c = decision_cost();
    println!("{WAITING} waiting requests of {MODELS} models");
    println!("{:<40} {:>9.2?}", "a waiting request asks again", c.again);
    println!("{:<40} {:>9.2?}", "a new request is refused", c.refused);
    println!(
        "{:<40} {:>9.2?}",
        "a new request displaces the last", c.displacing
    );
    println!("{:<40} {:>9}", "bytes of a waiting request", c.bytes);
}
