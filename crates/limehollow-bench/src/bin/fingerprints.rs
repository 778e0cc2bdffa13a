//! What taking a request's fingerprint costs, by the length of its body.

use limehollow::fingerprint::{Fingerprint, Identity};
use std::hint::black_box;
use std::time::Instant;

const BODIES: [usize; 4] = [0, 1 << 10, 4 << 10, 64 << 10];
const ROUNDS: u32 = 20_000;

fn main() {
    for len in BODIES {
        let body = vec![b'x'; len];
        let began = Instant::now();
        for _ in 0..ROUNDS {
            black_box(Fingerprint::of(&Identity {
                caller: "",
                method: "POST",
                host: "portal.example",
                path: black_box("/draft/2f"),
                body: black_box(&body),
            }));
        }
        let each = began.elapsed() / ROUNDS;
        println!("{len:>6} bytes: {:.2} us", each.as_secs_f64() * 1e6);
    }
}
