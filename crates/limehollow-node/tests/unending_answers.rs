//! Endpoints whose answers are large or don't end, over sockets.

mod rig;

use limehollow::catalog::{CallerLimits, Catalog};
use limehollow::retry::Repeat;
use rig::reach::{self, CutOffSite, Way};
use rig::unending::{
    ENDED_WITHIN, FRAMINGS, Framing, Got, RULE_TIMEOUT, ask, ask_and_read_nothing, closed, gateway,
    plain_rule, read_answer, stream_rule, whole, without_end,
};
use rig::{Does, Server, answer, catalog};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// What an endpoint writes at most, so that the tests spare their machine.
const MOST: usize = 64 << 20;
/// A small bound on answers.
const SMALL: &str = "answer_bytes = 1000000\n";
const SMALL_BYTES: usize = 1_000_000;

/// Guards against a failure without end that holds its request up until the rule's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn failure_without_end_is_tried_elsewhere() {
    for framing in FRAMINGS {
        let failing = Server::start(vec![without_end(500, framing, MOST)]).await;
        let sound = Server::start(vec![reach::whole("ok")]).await;
        let servers = [failing.address, sound.address];
        let g = gateway("", plain_rule(Repeat::Allowed, 2), &servers).await;
        let began = Instant::now();
        let mut n = 0;
        while failing.requests() == 0 {
            assert!(began.elapsed() < ENDED_WITHIN, "it isn't asked");
            n += 1;
            let asked = Instant::now();
            let got = ask(g.address, &n.to_string()).await;
            let whole = Got {
                status: 200,
                len: 2,
                is_whole: true,
            };
            assert_eq!(got, whole, "{framing:?}");
            assert!(asked.elapsed() < RULE_TIMEOUT / 2, "{framing:?}");
        }
        closed(&failing, 1).await;
    }
}

/// Guards against an answer whose end the VM doesn't wait for reaching its caller as whole.
#[tokio::test(flavor = "multi_thread")]
async fn answer_over_the_bound_does_not_look_complete() {
    for framing in [Framing::Chunks, Framing::UntilClose] {
        for (status, is_stream) in [(200, false), (500, false), (200, true), (500, true)] {
            let name = format!("{framing:?} {status} {is_stream}");
            let s = Server::start(vec![without_end(status, framing, MOST)]).await;
            let rule = if is_stream {
                stream_rule()
            } else {
                plain_rule(Repeat::Never, 1)
            };
            let g = gateway(SMALL, rule, &[s.address]).await;
            let began = Instant::now();
            let got = ask(g.address, "1").await;
            assert!(!got.is_whole, "{name}: {got:?}");
            assert_eq!(got.status, status, "{name}");
            assert!(got.len <= SMALL_BYTES, "{name}: {got:?}");
            assert!(began.elapsed() < ENDED_WITHIN, "{name}");
            closed(&s, 1).await;
            assert_eq!(g.site.metrics.answers_too_large.get(), 1, "{name}");
        }
    }
}

/// Guards against an answer that can't be relayed whole being begun, though its length is stated.
#[tokio::test(flavor = "multi_thread")]
async fn stated_length_over_the_bound_is_refused_at_once() {
    for rule in [plain_rule(Repeat::Never, 1), stream_rule()] {
        let is_stream = rule.stream;
        let framing = Framing::Length(SMALL_BYTES + 1);
        let s = Server::start(vec![without_end(200, framing, MOST)]).await;
        let g = gateway(SMALL, rule, &[s.address]).await;
        let began = Instant::now();
        let got = ask(g.address, "1").await;
        assert_eq!((got.status, got.is_whole), (502, true), "{is_stream}");
        assert!(began.elapsed() < ENDED_WITHIN, "{is_stream}");
        closed(&s, 1).await;
        assert_eq!(g.site.metrics.answers_too_large.get(), 1, "{is_stream}");
    }
}

/// Guards against a bound that sound answers exceed.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_arrive_whole() {
    for framing in FRAMINGS {
        for (status, is_stream, most) in [
            (200, false, 10_000_000),
            (404, false, 10_000_000),
            (500, false, 1_000_000),
            (500, true, 1_000_000),
        ] {
            for len in [0, 100, 70_000, 300_000, 1_000_000, 10_000_000] {
                if len > most {
                    continue;
                }
                let name = format!("{framing:?} {status} {is_stream} {len}");
                let s = Server::start(vec![whole(status, framing, len)]).await;
                let rule = if is_stream {
                    stream_rule()
                } else {
                    plain_rule(Repeat::Never, 1)
                };
                let g = gateway("", rule, &[s.address]).await;
                let got = ask(g.address, "1").await;
                let whole = Got {
                    status,
                    len,
                    is_whole: true,
                };
                assert_eq!(got, whole, "{name}");
            }
        }
    }
}

/// Guards against the part of a large answer that came before its endpoint broke it off reaching the caller as whole.
#[tokio::test(flavor = "multi_thread")]
async fn large_answer_that_is_broken_off_does_not_look_complete() {
    for framing in [Framing::Chunks, Framing::Length(1_000_000)] {
        for status in [200, 500] {
            let Does::Writes(mut bytes) = whole(status, framing, 1_000_000) else {
                panic!("it keeps its connection");
            };
            bytes.truncate(800_000);
            let s = Server::start(vec![Does::WritesAndCloses(bytes)]).await;
            let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
            let got = ask(g.address, "1").await;
            assert_eq!((got.status, got.is_whole), (status, false), "{framing:?}");
        }
    }
}

/// Guards against a failure that is passed on as it comes counting as a success of its endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn large_failure_counts_as_a_failure_of_its_endpoint() {
    let s = Server::start(vec![whole(500, Framing::Chunks, 1_000_000)]).await;
    let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
    for id in ["1", "2"] {
        let got = ask(g.address, id).await;
        assert_eq!((got.status, got.is_whole), (500, true));
    }
    let view = g.site.view();
    let key = view.roster.key("i-0").expect("it is listed");
    assert!(view.balance.is_ejected(g.site.now(), key));
}

/// Guards against callers that don't read their answers using up the memory that others' answers need.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_leave_others_their_answers() {
    const LEN: usize = 250_000;
    let s = Server::start(vec![whole(200, Framing::Chunks, LEN)]).await;
    let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
    let mut waiting = Vec::new();
    for n in 0..200 {
        waiting.push(ask_and_read_nothing(g.address, &format!("w-{n}")).await);
    }
    let began = Instant::now();
    while s.requests() < waiting.len() {
        assert!(began.elapsed() < ENDED_WITHIN, "not all are asked");
        sleep(Duration::from_millis(10)).await;
    }
    let whole = Got {
        status: 200,
        len: LEN,
        is_whole: true,
    };
    assert_eq!(ask(g.address, "1").await, whole);
    for caller in waiting {
        assert_eq!(read_answer(caller).await, whole);
    }
}

/// Guards against an answer that another VM passes on losing its bound or its end.
#[tokio::test(flavor = "multi_thread")]
async fn answers_through_another_vm_are_whole_or_do_not_look_complete() {
    const LEN: usize = 1_000_000;
    let endless = without_end(200, Framing::Chunks, MOST);
    for (net, does, is_whole) in [
        (41, whole(200, Framing::Chunks, LEN), true),
        (42, endless, false),
    ] {
        let rule = rig::rule("/a/", Repeat::Never, 1);
        let site = CutOffSite::start(net, rule, 3, 3, &[does]).await;
        site.set_way(0, Way::Refuses).await;
        site.vms[0].until_cut_off().await;
        let got = ask(site.vms[0].address, "1").await;
        assert_eq!((got.status, got.is_whole), (200, is_whole), "{got:?}");
        if is_whole {
            assert_eq!(got.len, LEN);
        }
    }
}

/// Guards against the bound on read buffers cutting off what is sent to endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn large_request_arrives_whole() {
    const LEN: usize = 5_000_000;
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let endpoint = tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.expect("it is asked");
        let mut received = Vec::new();
        while !received.ends_with(b"end") {
            assert!(s.read_buf(&mut received).await.expect("it is read") > 0);
        }
        let bytes = answer(200, "1", "x-mark: m\r\n", "ok");
        s.write_all(&bytes).await.expect("it is written");
        received
    });
    let limits = CallerLimits {
        body_bytes: 2 * LEN,
        ..catalog(1, Vec::new()).limits
    };
    let g = gateway("", plain_rule(Repeat::Never, 1), &[address]).await;
    let rules = vec![plain_rule(Repeat::Never, 1)];
    g.site
        .set_catalog(Catalog::new(2, rules, BTreeMap::new(), limits));
    let body = format!("{}end", "x".repeat(LEN));
    assert_eq!(rig::status(&g.ask("/a/", &body).await), 200);
    let received = endpoint.await.expect("it doesn't panic");
    assert!(received.ends_with(body.as_bytes()));
}
