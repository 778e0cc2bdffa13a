//! Endpoints that announce in their answers that they leave, or ask for backoff.
//!
//! Guards against VMs that ignore an endpoint's announcement that it leaves: requests reached an endpoint 2.5 and 3.7 s
//! after an answer with the announcement had passed through the same VM; 2 s are allowed. The store didn't answer at
//! that time, so the endpoint's entry showed the announcement only 13 s later, and VMs looked only at the list to see
//! whether an endpoint leaves. Added log lines showed that each VM had received the announcement and chose the endpoint
//! after it.

mod rig;

use limehollow::retry::Repeat;
use rig::{Does, Gateway, Server, answer, endpoint, rule, status};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

fn answer_with(headers: &str) -> Vec<u8> {
    answer(200, "1", &format!("x-mark: 1\r\n{headers}"), "ok")
}

/// An answer that refuses a request and asks for this many seconds of backoff.
fn refusal(backoff: &str) -> Vec<u8> {
    answer(
        503,
        "1",
        &format!("x-not-run: 1\r\nx-rest: {backoff}\r\n"),
        "",
    )
}

/// Starts an endpoint that sends these headers in its first answer only, an endpoint that sends none, and a gateway
/// that lists the first one.
async fn start(headers: &str) -> (Server, Server, Gateway) {
    let first = Server::start(vec![
        Does::Writes(answer_with(headers)),
        Does::Writes(answer_with("")),
    ])
    .await;
    let second = Server::start(vec![Does::Writes(answer_with(""))]).await;
    let rule = rule("/draft/", Repeat::Never, 1);
    let g = Gateway::start(rule, &[first.address]).await;
    (first, second, g)
}

#[tokio::test]
async fn endpoint_that_announces_leaving_gets_no_more_requests() {
    let (leaving, other, g) = start("x-leaving: 1\r\n").await;
    assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    // It isn't used even if there is no other endpoint: requests are refused at once.
    let refused = g.ask("/draft/1", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after: "), "{refused}");
    // An entry that was read late still shows it as ready.
    let listed = endpoint(0, leaving.address);
    g.site.view().list(Instant::now(), listed.clone());
    assert_eq!(status(&g.ask("/draft/1", "").await), 503);
    // Its entry is removed and comes back with the store.
    g.site.view().drop_endpoint(Instant::now(), "i-0");
    g.site.view().list(Instant::now(), listed);
    g.site
        .view()
        .list(Instant::now(), endpoint(1, other.address));
    for _ in 0..5 {
        assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    }
    assert_eq!((leaving.requests(), other.requests()), (1, 5));
}

/// Guards against VMs that ignore the backoff that an endpoint asks for: an endpoint refused a request of a VM and
/// asked for 3 s of backoff, and got three more requests of that VM in this time. Several endpoints refused all
/// requests for six seconds; the effect of a refusal faded within half a second, whatever backoff it stated, so each VM
/// went on sending first and second attempts there, and callers got 503 after a useless round trip. The log lines of
/// one VM showed the backoff and the requests sent within it.
#[tokio::test]
async fn backing_off_endpoint_gets_no_requests() {
    let server = Server::start(vec![
        Does::Writes(refusal("60")),
        Does::Writes(answer_with("")),
    ])
    .await;
    let g = Gateway::start(rule("/draft/", Repeat::Allowed, 2), &[server.address]).await;
    g.ask("/draft/1", "").await;
    // By now the effect of the refusal itself has faded.
    sleep(Duration::from_secs(1)).await;
    for _ in 0..20 {
        let refused = g.ask("/draft/1", "").await;
        assert_eq!(status(&refused), 503);
        assert!(refused.contains("retry-after: "), "{refused}");
    }
    assert_eq!(server.requests(), 1);
}

/// Meanwhile another endpoint serves the requests, without a delay.
#[tokio::test]
async fn requests_go_to_another_endpoint_during_backoff() {
    let backing_off = Server::start(vec![Does::Writes(refusal("60"))]).await;
    let other = Server::start(vec![Does::Writes(answer_with(""))]).await;
    let servers = [backing_off.address, other.address];
    let g = Gateway::start(rule("/draft/", Repeat::Allowed, 2), &servers).await;
    for _ in 0..20 {
        assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    }
    assert!(backing_off.requests() <= 1, "{}", backing_off.requests());
}

/// When a backoff ends, a single request probes the endpoint, not all requests that have gathered.
#[tokio::test]
async fn endpoint_is_probed_by_one_request_after_backoff() {
    let does = vec![Does::Writes(refusal("0.2")), Does::Writes(refusal("60"))];
    let server = Server::start(does).await;
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[server.address]).await;
    g.ask("/draft/1", "").await;
    sleep(Duration::from_millis(250)).await;
    let mut requests = JoinSet::new();
    for _ in 0..20 {
        requests.spawn(rig::ask_at(g.address, "/draft/1"));
    }
    requests.join_all().await;
    assert_eq!(server.requests(), 2);
}

#[tokio::test]
async fn endpoint_is_used_again_after_backoff() {
    let does = vec![Does::Writes(refusal("0.1")), Does::Writes(answer_with(""))];
    let server = Server::start(does).await;
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[server.address]).await;
    while status(&g.ask("/draft/1", "").await) != 200 {
        sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..5 {
        assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    }
}
