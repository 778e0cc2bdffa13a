//! The memory that answers without end take. It is the only test of its file, since it measures the process.

mod rig;

use limehollow::retry::Repeat;
use rig::Server;
use rig::unending::{
    Framing, MAX_GROWTH_KB, gateway, growth_with_unread, plain_rule, stream_rule, without_end,
};

const ANSWERS: usize = 300;
/// A length that failures may have too.
const FRAMINGS: [Framing; 3] = [
    Framing::Chunks,
    Framing::UntilClose,
    Framing::Length(1_000_000),
];
/// What an endpoint writes at most, so that the test spares its machine if memory isn't bounded.
const MOST: usize = 2 << 20;

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
            let (growth, _callers) = growth_with_unread(g.address, ANSWERS).await;
            println!("{status}, stream {is_stream}, {framing:?}: {growth} kB");
            if growth > MAX_GROWTH_KB {
                wrong.push(format!("{status} {is_stream} {framing:?}: {growth} kB"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
