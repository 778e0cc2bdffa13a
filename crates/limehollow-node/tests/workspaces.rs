//! Keys and limits of workspaces, and what is forwarded of them to endpoints.

mod rig;

use limehollow::catalog::{Catalog, Rule};
use limehollow::log_position::LogPosition;
use limehollow::quota::Limit;
use limehollow::retry::Repeat;
use limehollow::workspace::{Cost, KeyDigest, Workspace, Workspaces};
use limehollow_node::site::Site;
use rig::{Does, Gateway, Plain, Server, answer, catalog, endpoint, parse_settings, rule, status};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const KEY: &str = "x-key: a secret\r\n";

fn workspace(name: &str, key: &str, limit: Option<Limit>) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![KeyDigest::of(key)],
        rank: None,
        limit,
        cost: Cost::Request,
        homes: Vec::new(),
    }
}

fn with(version: u64, rules: Vec<Rule>, all: Vec<Workspace>) -> Catalog {
    catalog(version, rules).with_workspaces(Workspaces::new(all).expect("valid"))
}

fn rules() -> Vec<Rule> {
    let open = Rule {
        open: true,
        homes: Vec::new(),
        ..rule("/open/", Repeat::Never, 1)
    };
    vec![rule("/draft/", Repeat::Never, 1), open]
}

/// Starts a gateway with one workspace, whose key is valid.
async fn start(limit: Option<Limit>) -> (Gateway, Server) {
    let server = Server::start(vec![Does::Writes(answer(200, "1", "x-mark: 1\r\n", "ok"))]).await;
    let settings = parse_settings(
        "name = \"vm-1\"\navailability_zone = \"a\"\nip = \"127.0.0.1\"\npeer_port = 0\nkey_removal_ms = 5000\n",
    );
    let site = Site::new(settings, Plain);
    let all = vec![workspace("bookkeeping", "a secret", limit)];
    site.set_catalog(with(1, rules(), all));
    {
        let mut view = site.view();
        view.confirmation.confirm(Instant::now());
        view.has_vms = true;
        view.update_vm_count(Instant::now(), 0);
        view.roster
            .apply_entry(Instant::now(), endpoint(0, server.address));
    }
    (Gateway::with(site).await, server)
}

async fn ask(g: &Gateway, path: &str, headers: &str) -> String {
    let mut s = g.connect().await;
    let more = format!("connection: close\r\n{headers}");
    let req = rig::request(path, "1", &more, "");
    s.write_all(req.as_bytes()).await.expect("it is written");
    let mut out = Vec::new();
    s.read_to_end(&mut out).await.expect("it is read");
    String::from_utf8_lossy(&out).into_owned()
}

fn received(server: &Server) -> String {
    server.received.lock().expect("sound").concat()
}

#[tokio::test]
async fn key_of_a_workspace_is_not_forwarded() {
    let (g, server) = start(None).await;
    let headers = format!("{KEY}x-workspace: somebody else\r\n");
    assert_eq!(status(&ask(&g, "/draft/1", &headers).await), 200);
    let received = received(&server);
    assert!(received.contains("x-workspace: bookkeeping"), "{received}");
    assert!(
        !received.contains("secret") && !received.contains("somebody"),
        "{received}"
    );
}

#[tokio::test]
async fn open_rule_needs_no_key_and_forwards_none() {
    let (g, server) = start(None).await;
    let headers = format!("{KEY}x-workspace: somebody else\r\n");
    for headers in ["", headers.as_str()] {
        assert_eq!(status(&ask(&g, "/open/1", headers).await), 200);
    }
    let received = received(&server);
    assert!(
        !received.contains("secret") && !received.contains("x-workspace"),
        "{received}"
    );
}

#[tokio::test]
async fn unknown_or_missing_key_is_unauthorized() {
    let (g, server) = start(None).await;
    for headers in ["", "x-key: another\r\n", "x-key: \r\n"] {
        assert_eq!(
            status(&ask(&g, "/draft/1", headers).await),
            401,
            "{headers}"
        );
    }
    assert_eq!(server.requests(), 0);
}

#[tokio::test]
async fn unknown_key_may_be_retried_while_another_vm_has_a_newer_configuration() {
    let (g, _server) = start(None).await;
    let ahead = ("vm-2".into(), LogPosition::new(0, 7));
    let feed = limehollow_node::edge::Feed::Configuration;
    g.site.view().furthest.insert(feed, ahead);
    let res = ask(&g, "/draft/1", "x-key: a new one\r\n").await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("retry-after"), "{res}");
}

#[tokio::test]
async fn unconfirmed_key_is_refused_and_open_rules_still_work() {
    let (g, server) = start(None).await;
    g.site.view().confirmation = limehollow::confirmation::Confirmation::default();
    let long_ago = Instant::now().checked_sub(Duration::from_secs(5));
    g.site
        .view()
        .confirmation
        .confirm(long_ago.expect("it ran for so long"));
    let res = ask(&g, "/draft/1", KEY).await;
    assert_eq!(status(&res), 503);
    assert!(res.contains("retry-after"), "{res}");
    assert_eq!(server.requests(), 0);
    assert!(!g.site.is_ready());
    assert_eq!(status(&ask(&g, "/open/1", "").await), 200);
}

#[tokio::test]
async fn workspace_over_its_limit_is_refused_before_an_endpoint_is_chosen() {
    let limit = Limit {
        rate: 2.0,
        burst: 2.0,
    };
    let (g, server) = start(Some(limit)).await;
    // No tokens have been earned yet.
    let res = ask(&g, "/draft/1", KEY).await;
    assert_eq!(status(&res), 429);
    assert!(res.contains("retry-after"), "{res}");
    assert_eq!(server.requests(), 0);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(status(&ask(&g, "/draft/1", KEY).await), 200);
}

#[tokio::test]
async fn refused_request_refunds_its_tokens() {
    let limit = Limit {
        rate: 2.0,
        burst: 2.0,
    };
    let (g, _server) = start(Some(limit)).await;
    g.site.view().set_unreadable(&"i-0".into());
    tokio::time::sleep(Duration::from_millis(600)).await;
    let held = |site: &Arc<Site<Plain>>| -> f64 {
        let view = site.view();
        view.quotas
            .holdings()
            .map(|(_, own, pool)| own + pool)
            .sum()
    };
    assert_eq!(status(&ask(&g, "/draft/1", KEY).await), 503);
    assert!(held(&g.site) > 1.0, "{}", held(&g.site));
}

/// The key is checked again before a request is sent, as there may be a long wait after its arrival.
#[tokio::test]
async fn key_removed_while_the_request_waits_is_rejected() {
    let (g, server) = start(None).await;
    // The key is removed before the rest of the body is sent.
    let mut s = g.connect().await;
    let body = "x".repeat(100);
    let req = rig::request(
        "/draft/1",
        "1",
        &format!("connection: close\r\n{KEY}"),
        &body,
    );
    let (head, rest) = req.split_at(req.len() - 50);
    s.write_all(head.as_bytes()).await.expect("it is written");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let all = vec![workspace("bookkeeping", "another key", None)];
    g.site.set_catalog(with(2, rules(), all));
    s.write_all(rest.as_bytes()).await.expect("it is written");
    let mut out = Vec::new();
    s.read_to_end(&mut out).await.expect("it is read");
    assert_eq!(status(&String::from_utf8_lossy(&out)), 503);
    assert_eq!(server.requests(), 0);
}

#[tokio::test]
async fn dump_contains_no_key() {
    let (g, _server) = start(Some(Limit {
        rate: 2.0,
        burst: 2.0,
    }))
    .await;
    let dump = g.site.dump().to_string();
    assert!(!dump.contains("secret"), "{dump}");
    assert!(dump.contains("bookkeeping"), "{dump}");
}
