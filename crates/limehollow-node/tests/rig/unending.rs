//! Test support: endpoints whose answers don't end, and callers that read them.

use super::{Does, Gateway, Plain, Server, catalog, endpoint, parse_settings, request, rule};
use limehollow::catalog::Rule;
use limehollow::retry::Repeat;
use limehollow_node::site::Site;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// How long the rules of these tests allow an answer to take.
pub const RULE_TIMEOUT: Duration = Duration::from_secs(20);
/// By when an answer is ended that no bound on time ends; most of it is for a busy machine.
pub const ENDED_WITHIN: Duration = Duration::from_secs(10);
/// The time in which endpoints write what is taken of their answers.
const WRITTEN_WITHIN: Duration = Duration::from_millis(1500);
/// The memory that a VM of 120 MB has beside what it takes at rest, in kB.
pub const MAX_GROWTH_KB: u64 = 90_000;
/// The bytes of one write of an endpoint.
pub const PIECE: usize = 16 << 10;

/// How an answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    UntilClose,
    /// A length, in bytes.
    Length(usize),
}

pub const FRAMINGS: [Framing; 3] = [
    Framing::Chunks,
    Framing::UntilClose,
    Framing::Length(60_000_000),
];

pub fn head(status: u16, framing: Framing) -> String {
    let framing = match framing {
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::UntilClose => "connection: close\r\n".to_owned(),
        Framing::Length(n) => format!("content-length: {n}\r\n"),
    };
    format!("HTTP/1.1 {status} x\r\nx-mark: m\r\n{framing}\r\n")
}

/// Returns a piece of a body of this framing.
pub fn piece(framing: Framing, len: usize) -> Vec<u8> {
    let data = "x".repeat(len);
    match framing {
        Framing::Chunks => format!("{len:x}\r\n{data}\r\n").into_bytes(),
        Framing::UntilClose | Framing::Length(_) => data.into_bytes(),
    }
}

/// An answer that goes on until its connection is closed, but for the bound that spares the machine of the test.
pub fn without_end(status: u16, framing: Framing, most: usize) -> Does {
    Does::WritesOn {
        first: head(status, framing).into_bytes(),
        again: piece(framing, PIECE),
        most,
    }
}

/// A whole answer of so many bytes, in pieces.
pub fn whole(status: u16, framing: Framing, len: usize) -> Does {
    let framing = match framing {
        Framing::Length(_) => Framing::Length(len),
        other => other,
    };
    let mut out = head(status, framing).into_bytes();
    let mut left = len;
    while left > 0 {
        let n = left.min(PIECE);
        out.extend(piece(framing, n));
        left -= n;
    }
    match framing {
        Framing::Chunks => out.extend(b"0\r\n\r\n"),
        Framing::UntilClose => return Does::WritesAndCloses(out),
        Framing::Length(_) => {}
    }
    Does::Writes(out)
}

pub fn plain_rule(repeat: Repeat, attempts: u32) -> Rule {
    Rule {
        timeout: RULE_TIMEOUT,
        ..rule("/a/", repeat, attempts)
    }
}

pub fn stream_rule() -> Rule {
    Rule {
        stream: true,
        ..plain_rule(Repeat::Never, 1)
    }
}

/// Starts a gateway with more settings and one rule.
pub async fn gateway(more: &str, rule: Rule, servers: &[SocketAddr]) -> Gateway {
    let own = "name = \"vm-1\"\navailability_zone = \"a\"\nip = \"127.0.0.1\"\npeer_port = 0\n";
    let site = Site::new(parse_settings(&format!("{own}{more}")), Plain);
    site.set_catalog(catalog(1, vec![rule]));
    for (i, address) in servers.iter().enumerate() {
        let mut e = endpoint(i, *address);
        e.slots = 2000;
        site.view().list(site.now(), e);
    }
    Gateway::with(site).await
}

/// Waits until the peer of an endpoint has closed so many connections.
pub async fn closed(s: &Server, connections: usize) {
    let began = Instant::now();
    while s.left.load(Ordering::Relaxed) < connections {
        assert!(began.elapsed() < ENDED_WITHIN, "still connected");
        sleep(Duration::from_millis(10)).await;
    }
}

impl Gateway {
    /// Waits until a VM that reaches no endpoint knows.
    pub async fn until_cut_off(&self) {
        let began = Instant::now();
        while !self.site.view().own_reach.is_cut() {
            assert!(began.elapsed() < ENDED_WITHIN, "it doesn't notice");
            let _early = ask(self.address, "early").await;
        }
    }
}

/// Returns the memory of this process in kB.
pub fn resident_kb() -> u64 {
    status_kb("VmRSS:")
}

/// Returns the most memory that this process has had, in kB.
pub fn peak_resident_kb() -> u64 {
    status_kb("VmHWM:")
}

fn status_kb(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("it can be read");
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    let kb = line.and_then(|l| l.trim().strip_suffix(" kB"));
    kb.and_then(|n| n.parse().ok()).expect("it has the size")
}

/// Sends a request and returns its connection, from which nothing is read.
pub async fn ask_and_read_nothing(to: SocketAddr, id: &str) -> TcpStream {
    let mut s = TcpStream::connect(to).await.expect("it accepts");
    let text = request("/a/", id, "connection: close\r\n", "a body");
    s.write_all(text.as_bytes()).await.expect("it is written");
    s
}

/// Sends so many requests, from whose connections nothing is read. Returns these, and by how much the memory of this process
/// has grown once endpoints have written what is taken of their answers, in kB.
pub async fn growth_with_unread(to: SocketAddr, requests: usize) -> (u64, Vec<TcpStream>) {
    let before = resident_kb();
    let mut callers = Vec::new();
    for n in 0..requests {
        callers.push(ask_and_read_nothing(to, &format!("r-{n}")).await);
    }
    sleep(WRITTEN_WITHIN).await;
    (resident_kb().saturating_sub(before), callers)
}

/// An answer as an HTTP client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    /// The length of its body.
    pub len: usize,
    /// Whether its end was read.
    pub is_whole: bool,
}

/// Reads an answer to its end, or to the end of its connection.
pub async fn read_answer(mut s: TcpStream) -> Got {
    let mut bytes = Vec::new();
    // A reset of the connection ends the answer too.
    let _reset = s.read_to_end(&mut bytes).await;
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(end) = end else {
        return Got {
            status: 0,
            len: 0,
            is_whole: false,
        };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body = &bytes[end + 4..];
    let status = super::status(&head);
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    if let Some(n) = length {
        let n: usize = n.trim().parse().expect("a number");
        return Got {
            status,
            len: body.len(),
            is_whole: body.len() == n,
        };
    }
    let is_chunked = head.contains("transfer-encoding: chunked");
    assert!(is_chunked, "an answer without framing: {head}");
    Got {
        status,
        len: String::from_utf8_lossy(body).matches('x').count(),
        is_whole: body.ends_with(b"0\r\n\r\n"),
    }
}

/// Sends a request and reads its answer.
pub async fn ask(to: SocketAddr, id: &str) -> Got {
    read_answer(ask_and_read_nothing(to, id).await).await
}
