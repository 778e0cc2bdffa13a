//! Endpoints that say in their answers that they leave, or want rest.
//!
//! What users saw: a request reached an endpoint 2.5 and 3.7 s after an answer of it, which the same VM had passed on, had said that it
//! leaves; 2 s are allowed. Order of events: the store stops answering; the endpoint says in all its answers that it leaves; its entry
//! in the store shows that 13 s later; until then VMs that have passed the word on choose it again and again. Cause: only the list was
//! asked whether an endpoint leaves. Evidence: with a line for it, each VM shows that it heard the word and chose the endpoint after it.

mod rig;

use limehollow::retry::Repeat;
use rig::{Does, Gateway, Server, answer, endpoint, rule, status};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

fn says(words: &str) -> Vec<u8> {
    answer(200, "1", &format!("x-mark: 1\r\n{words}"), "ok")
}

/// Turns a request away and asks for so many seconds of rest.
fn away(rest: &str) -> Vec<u8> {
    answer(503, "1", &format!("x-not-run: 1\r\nx-rest: {rest}\r\n"), "")
}

/// Starts an endpoint that says these words in its first answer only, and one that says nothing.
async fn start(words: &str) -> (Server, Server, Gateway) {
    let first = Server::start(vec![Does::Writes(says(words)), Does::Writes(says(""))]).await;
    let second = Server::start(vec![Does::Writes(says(""))]).await;
    let rule = rule("/draft/", Repeat::Never, 1);
    let g = Gateway::start(rule, &[first.address]).await;
    (first, second, g)
}

#[tokio::test]
async fn leaving_endpoint_by_its_own_word_gets_nothing_more() {
    let (leaving, other, g) = start("x-leaving: 1\r\n").await;
    assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    // Alone, it isn't used either: who comes is told at once.
    let refused = g.ask("/draft/1", "").await;
    assert_eq!(status(&refused), 503);
    assert!(refused.contains("retry-after: "), "{refused}");
    // Its entry, which was read late, says that it is ready.
    let listed = endpoint(0, leaving.address);
    g.site.view().list(Instant::now(), listed.clone());
    assert_eq!(status(&g.ask("/draft/1", "").await), 503);
    // Its entry went, and came back with the store.
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

/// What users saw: an endpoint had turned a VM away and asked it for 3 s of rest, and got three requests of it in that time. Order of
/// events: several endpoints turn all requests away for six seconds; each VM goes on sending there, first tries and second ones, as the
/// memory of a refusal fades in half a second; callers get 503 after a way to endpoints that wanted nothing. Cause: a refusal counted
/// for its own time, not for that which it named. Evidence: the lines of one VM, with the rest that it was asked for and what it sent in it.
#[tokio::test]
async fn resting_endpoint_gets_nothing_of_this_vm() {
    let server = Server::start(vec![Does::Writes(away("60")), Does::Writes(says(""))]).await;
    let g = Gateway::start(rule("/draft/", Repeat::Allowed, 2), &[server.address]).await;
    g.ask("/draft/1", "").await;
    // By then the refusal alone counts no more.
    sleep(Duration::from_secs(1)).await;
    for _ in 0..20 {
        let refused = g.ask("/draft/1", "").await;
        assert_eq!(status(&refused), 503);
        assert!(refused.contains("retry-after: "), "{refused}");
    }
    assert_eq!(server.requests(), 1);
}

/// Another endpoint serves meanwhile, and is asked at once.
#[tokio::test]
async fn resting_endpoint_leaves_requests_to_another() {
    let resting = Server::start(vec![Does::Writes(away("60"))]).await;
    let other = Server::start(vec![Does::Writes(says(""))]).await;
    let servers = [resting.address, other.address];
    let g = Gateway::start(rule("/draft/", Repeat::Allowed, 2), &servers).await;
    for _ in 0..20 {
        assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    }
    assert!(resting.requests() <= 1, "{}", resting.requests());
}

/// When a rest is over, one request shows whether it is, not all that have gathered.
#[tokio::test]
async fn resting_endpoint_is_asked_by_one_request_first() {
    let does = vec![Does::Writes(away("0.2")), Does::Writes(away("60"))];
    let server = Server::start(does).await;
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[server.address]).await;
    g.ask("/draft/1", "").await;
    sleep(Duration::from_millis(250)).await;
    let mut asking = JoinSet::new();
    for _ in 0..20 {
        asking.spawn(rig::ask_at(g.address, "/draft/1"));
    }
    asking.join_all().await;
    assert_eq!(server.requests(), 2);
}

#[tokio::test]
async fn rested_endpoint_is_used_again() {
    let does = vec![Does::Writes(away("0.1")), Does::Writes(says(""))];
    let server = Server::start(does).await;
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[server.address]).await;
    while status(&g.ask("/draft/1", "").await) != 200 {
        sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..5 {
        assert_eq!(status(&g.ask("/draft/1", "").await), 200);
    }
}
