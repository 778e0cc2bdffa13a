//! Answers of endpoints that end with their connection, over sockets.

mod rig;

use limehollow::catalog::Rule;
use limehollow::fingerprint::{Fingerprint, Identity};
use limehollow::retry::Repeat;
use rig::{Does, Gateway, Server, endpoint, request, rule, status};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// The head of a stream that names neither a length nor chunks.
const UNFRAMED_HEAD: &str =
    "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\ncontent-type: text/event-stream\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\ntransfer-encoding: chunked\r\n\
    content-type: text/event-stream\r\n\r\n";
/// The end of a complete answer to a caller.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

fn stream_rule() -> Rule {
    Rule {
        stream: true,
        ..rule("/s/", Repeat::Never, 1)
    }
}

fn once(answer: &str) -> Vec<Does> {
    vec![Does::WritesAndCloses(answer.as_bytes().to_vec())]
}

/// Returns what a caller gets of an unframed stream after which the endpoint closes the connection.
async fn relayed(stream: &str) -> String {
    let s = Server::start(once(&format!("{UNFRAMED_HEAD}{stream}"))).await;
    let g = Gateway::start(stream_rule(), &[s.address]).await;
    g.ask("/s/", "").await
}

/// Starts an endpoint that answers one request, closes or resets the connection, and listens no more.
async fn crashing_endpoint(answer: String, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (c, _) = accepted.expect("it accepts");
                    connections.spawn(answer_once(c, answer.clone(), resets));
                }
                Some(asked) = connections.join_next() => if asked.expect("it doesn't panic") {
                    return;
                },
            }
        }
    });
    address
}

/// Answers a request and returns `true`, unless the connection ends without one.
async fn answer_once(mut c: TcpStream, answer: String, resets: bool) -> bool {
    let mut buf = [0; 4096];
    if !matches!(c.read(&mut buf).await, Ok(n) if n > 0) {
        return false;
    }
    c.write_all(answer.as_bytes()).await.expect("it is written");
    if resets {
        // Until the caller has read what was written.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let linger = socket2::SockRef::from(&c).set_linger(Some(Duration::ZERO));
        linger.expect("it can be set");
    }
    true
}

#[tokio::test]
async fn unframed_stream_that_ends_inside_an_event_does_not_look_complete() {
    for cut in ["id: 2\nda", "id: 2\ndata: b\n", "i"] {
        let got = relayed(&format!("id: 1\ndata: a\n\n{cut}")).await;
        assert!(got.contains("data: a\n\n"), "{got:?}");
        assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
    }
}

#[tokio::test]
async fn unframed_stream_that_ends_between_events_is_complete() {
    for stream in [
        "id: 1\ndata: a\n\n",
        "id: 1\r\ndata: a\r\n\r\n",
        "data: a\n\n: end\n",
    ] {
        let got = relayed(stream).await;
        assert!(got.ends_with(LAST_CHUNK), "{got:?}");
        assert!(got.contains(stream), "{got:?}");
    }
}

#[tokio::test]
async fn unframed_stream_without_an_event_does_not_look_complete() {
    for stream in ["", ": hello\n\n", "id: 1\n\n"] {
        let got = relayed(stream).await;
        assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
    }
}

#[tokio::test]
async fn chunked_stream_that_ends_inside_an_event_does_not_look_complete() {
    let answer = format!("{CHUNKED_HEAD}f\r\ndata: a\n\nda\r\n0\r\n\r\n");
    let s = Server::start(once(&answer.replace("f\r\n", "b\r\n"))).await;
    let g = Gateway::start(stream_rule(), &[s.address]).await;
    let got = g.ask("/s/", "").await;
    assert!(got.contains("data: a\n\n"), "{got:?}");
    assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
}

#[tokio::test]
async fn unframed_answer_whose_connection_is_reset_is_not_complete() {
    let stream = format!("{UNFRAMED_HEAD}id: 1\ndata: a\n\n");
    let address = crashing_endpoint(stream, true).await;
    let g = Gateway::start(stream_rule(), &[address]).await;
    let got = g.ask("/s/", "").await;
    assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
    let whole = "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\n\r\nhalf".to_owned();
    let address = crashing_endpoint(whole, true).await;
    let g = Gateway::start(rule("/a/", Repeat::Never, 1), &[address]).await;
    assert_eq!(status(&g.ask("/a/", "").await), 502);
}

#[tokio::test]
async fn unframed_answer_at_whose_end_the_endpoint_crashes_is_not_complete() {
    let stream = format!("{UNFRAMED_HEAD}id: 1\ndata: a\n\n");
    let address = crashing_endpoint(stream, false).await;
    let g = Gateway::start(stream_rule(), &[address]).await;
    let got = g.ask("/s/", "").await;
    assert!(!got.ends_with(LAST_CHUNK), "{got:?}");
    let whole = "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\n\r\nhalf".to_owned();
    let address = crashing_endpoint(whole, false).await;
    let g = Gateway::start(rule("/a/", Repeat::Never, 1), &[address]).await;
    assert_eq!(status(&g.ask("/a/", "").await), 502);
}

#[tokio::test]
async fn unframed_whole_answer_of_a_live_endpoint_is_forwarded() {
    let s = Server::start(once(
        "HTTP/1.1 200 x\r\nx-id: 1\r\nx-mark: m\r\n\r\nthe return",
    ))
    .await;
    let g = Gateway::start(rule("/a/", Repeat::Never, 1), &[s.address]).await;
    let got = g.ask("/a/", "").await;
    assert_eq!((status(&got), got.ends_with("the return")), (200, true));
}

#[tokio::test]
async fn unframed_answer_does_not_clear_a_request_that_crashes_endpoints() {
    let stream = format!("{UNFRAMED_HEAD}id: 1\ndata: a\n\n");
    let crashing = [
        crashing_endpoint(stream.clone(), false).await,
        crashing_endpoint(stream.clone(), false).await,
        crashing_endpoint(stream, false).await,
    ];
    let g = Gateway::start(stream_rule(), &crashing).await;
    // By this endpoint of another service the VM sees that it reaches endpoints.
    let live = Server::start(vec![Does::Closes]).await;
    let mut other = endpoint(crashing.len(), live.address);
    other.service = "other".into();
    g.site.view().list(g.site.now(), other);
    for _ in 0..crashing.len() {
        g.ask("/s/", "a body").await;
        // The probe of the endpoint ends after the answer.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let request = Fingerprint::of(&Identity {
        caller: "",
        method: "POST",
        host: "portal.example",
        path: "/s/",
        body: b"a body",
    });
    let now = g.site.now();
    let record = g.site.view().quarantine.record(now, request);
    assert_eq!(record.map(|r| r.crashes.len()), Some(crashing.len()));
}

#[tokio::test]
async fn caller_without_chunks_sees_that_an_answer_was_broken_off() {
    let stream = format!("{UNFRAMED_HEAD}id: 1\ndata: a\n\nda");
    let s = Server::start(once(&stream)).await;
    let g = Gateway::start(stream_rule(), &[s.address]).await;
    let mut c = TcpStream::connect(g.address).await.expect("it accepts");
    let req = request("/s/", "1", "", "").replace("HTTP/1.1", "HTTP/1.0");
    c.write_all(req.as_bytes()).await.expect("it is written");
    let mut got = Vec::new();
    let read = c.read_to_end(&mut got).await;
    assert!(read.is_err(), "closed in order after {got:?}");
}
