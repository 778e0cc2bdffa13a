//! Answers of endpoints that end with their connection, over sockets.

mod rig;

use limehollow::catalog::Rule;
use limehollow::retry::Repeat;
use rig::{Does, Gateway, Server, rule};

/// The head of a stream that names neither a length nor chunks.
const UNFRAMED_HEAD: &str =
    "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\ncontent-type: text/event-stream\r\n\r\n";
/// The end of a complete answer to a caller.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

fn stream_rule() -> Rule {
    Rule {
        stream: true,
        ..rule("/s/", Repeat::Never, 1)
    }
}

/// Returns what a caller gets of an unframed stream after which the endpoint closes the connection.
async fn relayed(stream: &str) -> String {
    let answer = format!("{UNFRAMED_HEAD}{stream}");
    let s = Server::start(vec![Does::WritesAndCloses(answer.into_bytes())]).await;
    let g = Gateway::start(stream_rule(), &[s.address]).await;
    g.ask("/s/", "").await
}

#[tokio::test]
async fn unframed_stream_that_ends_inside_an_event_does_not_look_complete() {
    for cut in ["id: 2\nda", "id: 2\ndata: b\n", "i"] {
        let got = relayed(&format!("id: 1\ndata: a\n\n{cut}")).await;
        assert!(got.contains("data: a\n\n"), "{got:?}");
        assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
    }
}
