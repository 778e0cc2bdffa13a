//! Calls to HTTP services, against answers as they come on the wire.

use limehollow_edge::Error;
use limehollow_edge::http::{client, json};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CHUNK: usize = 1 << 16;
/// What the service writes at most, so that the tests spare their machine.
const MOST: usize = 128 << 20;

/// Starts a service that answers one call, and returns its URL.
async fn service(head: String, chunk: Vec<u8>, chunks: usize, end: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.expect("a call comes");
        let mut buf = [0; 4096];
        let _request = s.read(&mut buf).await.expect("it is read");
        write(&mut s, &head, &chunk, chunks, end).await
    });
    format!("http://{address}/")
}

/// Writes an answer, unless the peer closes the connection before its end.
async fn write(
    s: &mut TcpStream,
    head: &str,
    chunk: &[u8],
    chunks: usize,
    end: &str,
) -> std::io::Result<()> {
    s.write_all(head.as_bytes()).await?;
    for _ in 0..chunks {
        s.write_all(chunk).await?;
    }
    s.write_all(end.as_bytes()).await
}

fn chunk_of_spaces() -> Vec<u8> {
    let spaces = " ".repeat(CHUNK);
    format!("{CHUNK:x}\r\n{spaces}\r\n").into_bytes()
}

async fn call(url: &str) -> Result<Value, Error> {
    json("test", client().expect("it starts").get(url)).await
}

/// Starts a service whose answer doesn't end, and calls it.
async fn call_without_end(status: u16) -> Error {
    let head = format!("HTTP/1.1 {status} x\r\ntransfer-encoding: chunked\r\n\r\n");
    let url = service(head, chunk_of_spaces(), MOST / CHUNK, "").await;
    call(&url).await.expect_err("it doesn't end")
}

/// Guards against a process whose memory is used up by an answer that doesn't end.
#[tokio::test]
async fn answer_without_end_is_given_up() {
    let e = call_without_end(200).await;
    assert!(matches!(e, Error::TooLarge { .. }), "{e}");
    assert!(!e.had_no_effect());
}

/// Guards against a failure being lost with its body: its status says whether the call had an effect.
#[tokio::test]
async fn failure_without_end_keeps_its_status() {
    for (status, had_no_effect) in [(409, true), (500, false)] {
        let e = call_without_end(status).await;
        assert!(
            matches!(e, Error::Status { status: s, .. } if s == status),
            "{status}: {e}"
        );
        assert_eq!(e.had_no_effect(), had_no_effect);
    }
}

/// Guards against a bound that sound answers exceed.
#[tokio::test]
async fn large_answer_is_decoded() {
    let head = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let url = service(head, chunk_of_spaces(), 200, "1\r\n7\r\n0\r\n\r\n").await;
    assert_eq!(call(&url).await.expect("it is decoded"), 7);
}

/// Guards against an answer that ends early, or inside its head, being taken for a whole one.
#[tokio::test]
async fn answer_that_is_cut_off_is_lost() {
    let whole = "HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\n77";
    for cut in 1..whole.len() {
        let url = service(whole[..cut].to_owned(), Vec::new(), 0, "").await;
        let e = call(&url).await.expect_err("it is cut off");
        assert!(matches!(e, Error::Call { .. }), "{cut}: {e}");
        assert!(!e.had_no_effect());
    }
}

/// Guards against an answer that can't be decoded counting as a call without effect.
#[tokio::test]
async fn answer_that_is_no_json_is_malformed() {
    let head = "HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\n{]".to_owned();
    let url = service(head, Vec::new(), 0, "").await;
    let e = call(&url).await.expect_err("it is no JSON");
    assert!(matches!(e, Error::Malformed { .. }), "{e}");
    assert!(!e.had_no_effect());
}
