//! Clients that don't behave, before a gateway's process.

#[path = "../../../platform/tests/crowd/process.rs"]
mod process;
mod rig;

use process::Watched;
use rig::{LONG, Rig};
use serde_json::json;
use std::io;
use std::net::SocketAddrV4;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The memory of the gateway's machine, in bytes.
const MEMORY: u64 = 256_000_000;
const BODY_LIMIT: usize = 16 << 20;
const MEMBERS: usize = 24;
const PIECE: usize = 64 << 10;
static ZEROS: [u8; PIECE] = [b'0'; PIECE];
/// A crowd has settled if nothing has moved for so many looks.
const LOOKS: usize = 50;

/// Sends a body that stops just short of its end.
async fn send(address: SocketAddrV4) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_LIMIT}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut left = BODY_LIMIT - 1;
    while left > 0 {
        let n = left.min(PIECE);
        stream.write_all(&ZEROS[..n]).await?;
        left -= n;
    }
    Ok(stream)
}

/// Guards against the bodies of all callers together having no bound.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_short_of_their_end_keep_memory_bounded() {
    let rig = Rig::new(1).await;
    let limits = format!("[limits]\nbody_bytes = {BODY_LIMIT}\nbody_ms = 600000\n");
    let g = rig.gateway("vm-1", &limits).await;
    let address = g.url.strip_prefix("http://").expect("it is HTTP");
    let address: SocketAddrV4 = address.parse().expect("it is an address");
    let mut watched = Watched::new(g.process_id(), [address, address]);
    let mut crowd = JoinSet::new();
    for _ in 0..MEMBERS {
        crowd.spawn(send(address));
    }
    let mut open = Vec::new();
    let all_sent = async {
        while let Some(sent) = crowd.join_next().await {
            open.push(sent.expect("it doesn't panic"));
        }
    };
    let guarded = async {
        assert!(
            timeout(LONG, all_sent).await.is_ok(),
            "the crowd can't send"
        );
    };
    watched.observe_until(guarded).await;
    watched.observe_until_settled(LOOKS).await;
    let peak = watched.peak();
    println!("{peak}");
    assert!(peak.resident <= MEMORY, "{peak}");
    assert!(peak.with_unread <= MEMORY, "{peak}");
    let body = json!({ "model": "m", "prompt": "x" });
    for when in ["beside the crowd", "after the crowd"] {
        let res = g.complete(&body).send().await.expect("an answer");
        assert_eq!(res.status(), 200, "{when}");
        open.clear();
    }
}
