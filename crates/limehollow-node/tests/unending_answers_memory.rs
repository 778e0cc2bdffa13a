//! The memory that answers without end take. It is the only test of its file, since it measures the process.

mod rig;

use limehollow::retry::Repeat;
use rig::Server;
use rig::unending::{
    Framing, ask_and_read_nothing, gateway, plain_rule, resident_kb, stream_rule, without_end,
};
use std::time::Duration;
use tokio::time::sleep;

const ANSWERS: usize = 300;
/// A length that failures may have too.
const FRAMINGS: [Framing; 3] = [
    Framing::Chunks,
    Framing::UntilClose,
    Framing::Length(1_000_000),
];
/// What an endpoint writes at most, so that the test spares its machine if memory isn't bounded.
const MOST: usize = 2 << 20;
/// The memory that a VM of 120 MB has beside what it takes at rest, in kB.
const MAX_GROWTH_KB: u64 = 90_000;
/// The time in which endpoints write what is taken of their answers.
const WRITTEN_WITHIN: Duration = Duration::from_millis(1500);

/// Guards against a VM going over its memory because it collects bodies that don't end.
#[tokio::test]
async fn answers_without_end_keep_memory_bounded() {
    let mut wrong = Vec::new();
    for (status, is_stream) in [(500, true), (500, false), (200, false), (200, true)] {
        for framing in FRAMINGS {
            let rule = if is_stream {
                stream_rule()
            } else {
                plain_rule(Repeat::Never, 1)
            };
            let s = Server::start(vec![without_end(status, framing, MOST)]).await;
            // The bound of one answer doesn't end it here: it is the VM's memory that has to be kept.
            let g = gateway("answer_bytes = 100000000\n", rule, &[s.address]).await;
            let before = resident_kb();
            let mut callers = Vec::new();
            for n in 0..ANSWERS {
                callers.push(ask_and_read_nothing(g.address, &format!("r-{n}")).await);
            }
            sleep(WRITTEN_WITHIN).await;
            let growth = resident_kb().saturating_sub(before);
            println!("{status}, stream {is_stream}, {framing:?}: {growth} kB");
            if growth > MAX_GROWTH_KB {
                wrong.push(format!("{status} {is_stream} {framing:?}: {growth} kB"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
