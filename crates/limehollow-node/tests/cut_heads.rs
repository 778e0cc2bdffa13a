//! Answers that end inside their head, over sockets.
//!
//! Guards against a head that was cut off being taken for a whole one: the caller would get a success with an empty or short
//! body that looks complete.

mod rig;

use limehollow::catalog::Rule;
use limehollow::retry::Repeat;
use limehollow_node::attempt::{LimitGrant, Target};
use limehollow_node::edge::PeerStates;
use limehollow_node::endpoint_report::{self, ReportError};
use limehollow_node::peer_state::HttpStates;
use rig::reach::{self, CutOffSite, Way};
use rig::unending::{ENDED_WITHIN, Got, ask};
use rig::{Does, Gateway, Server, rule};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const BODY: &str = "data: a\n\n";
/// Heads of answers with that body, or with none, by how the end of the body is found.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 x\r\ncontent-length: 9\r\nx-mark: m\r\n\r\n",
    "HTTP/1.1 200 x\r\nx-mark: m\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 200 x\r\nx-mark: m\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 x\r\nx-mark: m\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 x\r\nx-mark: m\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 103 x\r\nx-mark: m\r\n\r\nHTTP/1.1 200 x\r\nx-mark: m\r\ncontent-length: 0\r\n\r\n",
];
/// How long an endpoint waits in the middle of a head.
const PAUSE: Duration = Duration::from_millis(60);

/// How an endpoint ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Closes,
    Resets,
}

/// Starts an endpoint that writes a part of an answer, waits, and ends the connection.
async fn cutting_endpoint(part: &'static str, pause: Duration, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((s, _)) = listener.accept().await {
            tokio::spawn(write_and_end(s, part, pause, end));
        }
    });
    address
}

async fn write_and_end(mut s: TcpStream, part: &str, pause: Duration, end: End) {
    let mut buf = [0; 4096];
    if !matches!(s.read(&mut buf).await, Ok(n) if n > 0) {
        return;
    }
    s.write_all(part.as_bytes()).await.expect("it is written");
    sleep(pause).await;
    if matches!(end, End::Resets) {
        let linger = socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO));
        linger.expect("it can be set");
    }
}

fn rules() -> [Rule; 2] {
    let plain = rule("/a/", Repeat::Never, 1);
    let stream = Rule {
        stream: true,
        ..plain.clone()
    };
    [plain, stream]
}

/// Asks once through each rule, with an endpoint that cuts its answer off there.
async fn check_cut(part: &'static str, pause: Duration, end: End) {
    for rule in rules() {
        let is_stream = rule.stream;
        let address = cutting_endpoint(part, pause, end).await;
        let g = Gateway::start(rule, &[address]).await;
        let got = ask(g.address, "1").await;
        assert_eq!(
            (got.status, got.is_whole),
            (502, true),
            "{part:?}, {end:?}, stream {is_stream}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_cut_at_any_byte_is_no_answer() {
    for head in HEADS {
        for cut in 1..head.len() {
            for end in [End::Closes, End::Resets] {
                check_cut(&head[..cut], Duration::ZERO, end).await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn head_that_pauses_and_is_cut_at_a_line_is_no_answer() {
    for head in HEADS {
        for (cut, _) in head.match_indices("\r\n") {
            for at in [cut, cut + 1, cut + 2] {
                if at < head.len() {
                    check_cut(&head[..at], PAUSE, End::Closes).await;
                }
            }
        }
    }
}

/// Guards against a head being taken for cut off because it comes in parts.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_comes_in_parts_is_whole() {
    let head = HEADS[0];
    for cut in (1..head.len()).step_by(7) {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        tokio::spawn(async move {
            let (mut s, _) = listener.accept().await.expect("it is asked");
            let mut buf = [0; 4096];
            let _request = s.read(&mut buf).await.expect("it is read");
            for part in [&head[..cut], &head[cut..], BODY] {
                s.write_all(part.as_bytes()).await.expect("it is written");
                sleep(PAUSE).await;
            }
        });
        let [plain, _] = rules();
        let g = Gateway::start(plain, &[address]).await;
        let got = ask(g.address, "1").await;
        assert_eq!((got.status, got.is_whole), (200, true), "{cut}");
        assert_eq!(got.len, BODY.len(), "{cut}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_be_repeated_gets_the_whole_answer_of_another_endpoint() {
    let sound = Server::start(vec![reach::whole("ok")]).await;
    for cut in (1..HEADS[0].len()).step_by(5) {
        let cutting = cutting_endpoint(&HEADS[0][..cut], Duration::ZERO, End::Closes).await;
        let rule = rule("/a/", Repeat::Allowed, 2);
        let g = Gateway::start(rule, &[cutting, sound.address]).await;
        let whole = Got {
            status: 200,
            len: 2,
            is_whole: true,
        };
        for id in ["1", "2", "3"] {
            assert_eq!(ask(g.address, id).await, whole, "{cut}");
        }
    }
}

/// Returns parts of a head that end at and around its lines' ends.
fn parts(head: &'static str) -> Vec<Does> {
    let ends = head.match_indices("\r\n").flat_map(|(i, _)| [i, i + 2]);
    let ends = ends.filter(|i| *i < head.len());
    ends.map(|i| Does::WritesAndCloses(head.as_bytes()[..i].to_vec()))
        .collect()
}

/// An endpoint cuts its head off, and another VM has taken the request over.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_cut_is_no_answer_through_another_vm() {
    let does = parts(HEADS[0]);
    let [plain, _] = rules();
    let site = CutOffSite::start(43, plain, 3, 3, &does).await;
    site.set_way(0, Way::Refuses).await;
    site.vms[0].until_cut_off().await;
    let mut lost = 0;
    for n in 0..does.len() * 4 {
        let got = ask(site.vms[0].address, &format!("r-{n}")).await;
        assert!(got.is_whole && got.status >= 500, "{got:?}");
        lost += usize::from(got.status == 502);
    }
    assert!(lost > 0);
}

/// The VM that took a request over is killed while it writes the head of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_another_vm_cuts_is_no_answer() {
    let does = parts(HEADS[0]);
    let mut others = Vec::new();
    let [plain, _] = rules();
    let serve = |_, _, peers| others.push(Server::on(peers, does.clone()));
    let site = CutOffSite::start_with(44, plain, (3, 3), &[reach::whole("ok")], serve).await;
    site.set_way(0, Way::Refuses).await;
    site.vms[0].until_cut_off().await;
    let began = Instant::now();
    // A VM that has failed isn't asked for a while.
    while others[1..].iter().any(|vm| vm.requests() < does.len()) {
        assert!(began.elapsed() < 3 * ENDED_WITHIN, "it isn't asked");
        let got = ask(site.vms[0].address, "1").await;
        assert!(got.is_whole && got.status >= 500, "{got:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn report_whose_head_is_cut_is_no_report() {
    for head in HEADS {
        for cut in (1..head.len()).step_by(3) {
            let address = cutting_endpoint(&head[..cut], Duration::ZERO, End::Closes).await;
            let [plain, _] = rules();
            let g = Gateway::start(plain, &[address]).await;
            let to = Target {
                key: g.site.view().roster.key("i-0").expect("it is listed"),
                instance: "i-0".into(),
                address,
                grant: LimitGrant::Exempt,
                slot: None,
                causes: None,
            };
            let read = endpoint_report::read(&g.site, &to).await;
            assert!(
                matches!(read, Err(ReportError::Call { .. })),
                "{cut}: {read:?}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn state_whose_head_is_cut_is_no_state() {
    for head in HEADS {
        for cut in (1..head.len()).step_by(3) {
            let address = cutting_endpoint(&head[..cut], Duration::ZERO, End::Closes).await;
            assert!(HttpStates.fetch(address).await.is_err(), "{cut}");
            assert!(HttpStates.fetch_crashes(address).await.is_err(), "{cut}");
            assert!(HttpStates.fetch_members(address).await.is_err(), "{cut}");
        }
    }
}
