//! More connections of callers than a VM has file descriptors for.

mod rig;

use limehollow_node::caller;
use limehollow_node::site::Site;
use rig::{Plain, parse_settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// The VM's limit of file descriptors.
const DESCRIPTORS: usize = 100;
/// The number of these that connections of callers may use.
const MAX_CONNECTIONS: usize = 60;
/// Longer than an accepted connection waits for its answer on a loaded machine.
const LONG: Duration = Duration::from_secs(20);
/// How long a connection that must not be accepted is observed.
const SHORT: Duration = Duration::from_millis(300);

/// Sends a request on a connection and returns the answer's head, or `None` if there is no answer in time.
async fn ask(s: &mut TcpStream, within: Duration) -> Option<String> {
    let req = b"GET /a/ HTTP/1.1\r\nhost: portal.example\r\n\r\n";
    s.write_all(req).await.expect("it is sent");
    let mut buf = [0; 4096];
    let n = timeout(within, s.read(&mut buf)).await.ok()?;
    let n = n.expect("it is read");
    Some(String::from_utf8_lossy(&buf[..n]).to_lowercase())
}

/// Guards against idle connections of callers that use up all descriptors, so that neither endpoints nor the store can
/// be reached.
#[tokio::test]
async fn idle_connections_leave_descriptors_for_endpoints_and_the_store() {
    let own = format!(
        "name = \"vm-1\"\navailability_zone = \"a\"\nip = \"127.0.0.1\"\npeer_port = 0\ndescriptors = {DESCRIPTORS}\n"
    );
    let site = Site::new(parse_settings(&own), Plain);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(caller::serve(Arc::clone(&site), listener, stopped));
    let mut open = Vec::new();
    for i in 0..MAX_CONNECTIONS {
        let mut s = TcpStream::connect(address).await.expect("it accepts");
        if i < MAX_CONNECTIONS / 2 - 1 {
            let head = ask(&mut s, LONG).await.expect("it is answered");
            assert!(!head.contains("connection: close"), "{i}: {head}");
        }
        open.push(s);
    }
    // Above half of the limit each connection is closed with its answer.
    let head = ask(&mut open[MAX_CONNECTIONS - 1], LONG)
        .await
        .expect("it is answered");
    assert!(head.contains("connection: close"), "{head}");
    let mut another = TcpStream::connect(address)
        .await
        .expect("the system takes it");
    assert!(
        ask(&mut another, LONG).await.is_some(),
        "a connection has been closed, so another is accepted"
    );
    // At the limit the next connection waits until another one ends.
    drop(another);
    let mut last = TcpStream::connect(address)
        .await
        .expect("the system takes it");
    let mut next = TcpStream::connect(address)
        .await
        .expect("the system takes it");
    last.write_all(b"GET ").await.expect("it is sent");
    tokio::time::sleep(SHORT).await;
    assert_eq!(ask(&mut next, SHORT).await, None);
    drop(last);
    let mut buf = [0; 64];
    let n = timeout(LONG, next.read(&mut buf))
        .await
        .expect("it is accepted");
    assert!(n.expect("it is read") > 0);
}
