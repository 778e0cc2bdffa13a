//! Bodies that are refused: when, with what, and whether the refusal arrives.

mod rig;

use limehollow::catalog::{CallerLimits, Catalog, Rule};
use limehollow::retry::Repeat;
use rig::reach;
use rig::unending::{self, plain_rule};
use rig::{Gateway, Server, catalog, request, status};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The body limit of the configuration, in bytes.
const LIMIT: usize = 1 << 20;
/// Longer than an answer takes on a loaded machine, and shorter than the rule's timeout.
const LONG: Duration = Duration::from_secs(20);
const RULE_TIMEOUT: Duration = Duration::from_secs(600);

/// Starts a gateway whose memory has room for three bodies of the limit and small ones.
async fn gateway(servers: &[SocketAddr]) -> Gateway {
    let rule = Rule {
        timeout: RULE_TIMEOUT,
        ..plain_rule(Repeat::Never, 1)
    };
    let g = unending::gateway("memory_mb = 21\n", rule.clone(), servers).await;
    let limits = CallerLimits {
        body_bytes: LIMIT,
        ..catalog(1, Vec::new()).limits
    };
    g.site
        .set_catalog(Catalog::new(2, vec![rule], BTreeMap::new(), limits));
    g
}

/// Sends a head with this framing.
async fn begin(g: &Gateway, framing: &str) -> TcpStream {
    let mut s = TcpStream::connect(g.address).await.expect("it accepts");
    let head = format!("POST /a/ HTTP/1.1\r\nhost: portal.example\r\nx-id: 1\r\n{framing}\r\n\r\n");
    s.write_all(head.as_bytes()).await.expect("it is sent");
    s
}

/// Sends all but the last byte of a body of the limit.
async fn begin_body(g: &Gateway) -> TcpStream {
    let mut s = begin(g, &format!("content-length: {LIMIT}")).await;
    s.write_all(&vec![b'0'; LIMIT - 1])
        .await
        .expect("it is sent");
    s
}

/// Reads until the connection ends.
async fn read(s: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = timeout(LONG, s.read_to_end(&mut answer)).await;
    read.expect("it ends").expect("it is read");
    String::from_utf8_lossy(&answer).to_lowercase()
}

/// Waits until bodies hold so many bytes.
async fn until_held(g: &Gateway, bytes: usize) {
    let held = async {
        while g.site.request_memory.held() < bytes {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LONG, held).await.expect("they are read");
}

/// Guards against reading a body that is known to be too large.
#[tokio::test(flavor = "multi_thread")]
async fn announced_length_over_the_limit_is_refused_at_once() {
    let g = gateway(&[]).await;
    let mut s = begin(&g, &format!("content-length: {}", 8_u64 << 30)).await;
    let answer = read(&mut s).await;
    assert_eq!(status(&answer), 413, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(g.site.request_memory.peak(), 0);
}

/// Guards against closing a connection on a caller that still sends, so that the refusal is lost.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_still_sends() {
    let g = gateway(&[]).await;
    let mut s = begin(&g, "transfer-encoding: chunked").await;
    let chunk = format!("{LIMIT:x}\r\n{}\r\n", "0".repeat(LIMIT));
    s.write_all(chunk.as_bytes()).await.expect("it is sent");
    let rest = format!("{:x}\r\n{}\r\n0\r\n\r\n", LIMIT / 2, "0".repeat(LIMIT / 2));
    s.write_all(rest.as_bytes()).await.expect("it is read");
    let answer = read(&mut s).await;
    assert_eq!(status(&answer), 413, "{answer}");
}

/// Guards against a body for which there is no memory waiting for it, and against a refusal of a request that runs.
#[tokio::test(flavor = "multi_thread")]
async fn body_without_memory_is_refused_and_does_not_run() {
    let server = Server::start(vec![reach::whole("ok")]).await;
    let g = gateway(&[server.address]).await;
    let mut unfinished = Vec::new();
    for _ in 0..3 {
        unfinished.push(begin_body(&g).await);
    }
    until_held(&g, 3 * LIMIT).await;
    let mut refused = begin_body(&g).await;
    let answer = read(&mut refused).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after:"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(server.requests(), 0);
    // Small requests are served meanwhile.
    assert_eq!(status(&g.ask("/a/", "small").await), 200);
}

/// Guards against unfinished bodies holding memory until their rule's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn body_that_stops_gives_way_to_a_whole_one() {
    let server = Server::start(vec![reach::whole("ok")]).await;
    let g = gateway(&[server.address]).await;
    let mut stopped = Vec::new();
    for _ in 0..3 {
        stopped.push(begin_body(&g).await);
    }
    until_held(&g, 3 * LIMIT).await;
    let body = "0".repeat(LIMIT);
    let until_served = async {
        // Those who stopped give way once they have made no progress for a while.
        while status(&whole(&g, &body).await) != 200 {}
    };
    timeout(LONG, until_served).await.expect("it is served");
    let mut answers = Vec::new();
    for s in &mut stopped {
        let mut buf = [0; 1024];
        // The others are left alone.
        if let Ok(n) = timeout(Duration::from_millis(200), s.read(&mut buf)).await {
            let n = n.expect("it is read");
            answers.push(status(&String::from_utf8_lossy(&buf[..n])));
        }
    }
    assert_eq!(answers, [503]);
}

/// Sends a whole request, and returns what is read of the answer.
async fn whole(g: &Gateway, body: &str) -> String {
    let mut s = TcpStream::connect(g.address).await.expect("it accepts");
    let req = request("/a/", "1", "connection: close\r\n", body);
    // It may be refused before all of it is sent.
    let _refused = s.write_all(req.as_bytes()).await;
    let mut answer = Vec::new();
    let _reset = s.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
