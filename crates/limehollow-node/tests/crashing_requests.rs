//! A request that crashes each endpoint that runs it and is sent again and again.
//!
//! Guards against one caller that takes down a site's endpoints: on a site with 12 of them, 16 crashed in 18 s, each
//! came back empty after some seconds, and a quarter to a half of all requests wasn't served meanwhile. The caller sent
//! the same request under new ids, from many addresses, to any VM. Each arrival looked like the first one to the VM
//! that received it, the endpoint crashed some tens of ms after it had begun to run the request, and all its streams
//! broke off. No record outlived one arrival at one VM, and a crash was counted against the endpoint, never against the
//! request.
//!
//! The caller's address isn't part of a request's identity. A first fix that included it failed: the streams that had
//! begun last arrived at VMs of three zones within 0.4 s, while each address is routed to one zone.
//!
//! The cause was found from these observations: at each crash, of the 3 to 23 streams that broke off in the same
//! millisecond, the one that had begun last had the same rule and model, and had had no result or its first one less
//! than 70 ms before. Endpoints that didn't hold the model kept running. 18 of 42 endpoints had received no order in
//! the half second before. None of these requests was retried within one arrival.

mod rig;

use rig::crashing::{CALLER, CRASHING, CUT_OFF, CrashingSite, call, operators};
use rig::status;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time within which all VMs have to know that a request has crashed its third endpoint: a third of the time that
/// the requirements allow.
const KNOWN_WITHIN: Duration = Duration::from_millis(1000);
/// How often the request may still be sent to endpoints after [`KNOWN_WITHIN`].
const ALLOWED: usize = 3;
/// The pause between two arrivals of the request.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);

/// Returns the address from which the n-th request is sent: the caller uses several addresses.
fn address(n: usize) -> Ipv4Addr {
    let last = u8::try_from(n % 7 + 1).expect("it is small");
    Ipv4Addr::new(127, 0, 0, last)
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_repeated_at_other_vms() {
    let site = CrashingSite::start(2, 4, 6).await;
    for n in 0..20 {
        site.ask(n % 4, address(n), &format!("c-{n}"), CRASHING)
            .await;
        sleep(ARRIVAL_INTERVAL).await;
    }
    let crashes = site.crashes();
    assert!(crashes >= 3, "{crashes} endpoints ended");
    let late = site.arrivals_after_third(KNOWN_WITHIN);
    assert!(
        late <= ALLOWED,
        "sent to endpoints {late} times more, {crashes} ended in all"
    );
    // Other requests of the same caller are still served.
    for vm in 0..4 {
        let got = site.ask(vm, CALLER, "i-1", "a statement").await;
        assert_eq!(status(&got), 200, "{got}");
    }
}

/// Sends the crashing request until it is refused. Returns the last answer.
async fn until_refused(site: &CrashingSite) -> String {
    for n in 0..20 {
        let vm = n % site.vms.len();
        let got = site.ask(vm, CALLER, &format!("c-{n}"), CRASHING).await;
        if status(&got) == 503 {
            return got;
        }
        sleep(ARRIVAL_INTERVAL).await;
    }
    panic!("it is never refused");
}

async fn assert_refused(site: &CrashingSite, vms: std::ops::Range<usize>) {
    let arrivals = site.arrivals();
    for vm in vms {
        let got = site.ask(vm, CALLER, "late", CRASHING).await;
        assert_eq!(status(&got), 503, "vm {vm}: {got}");
    }
    assert_eq!(site.arrivals(), arrivals);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_refused_with_reason_and_retry_delay() {
    let site = CrashingSite::start(3, 2, 4).await;
    let got = until_refused(&site).await;
    assert!(got.contains("crashes the endpoints that run it"), "{got}");
    let after = got.lines().find_map(|l| l.strip_prefix("retry-after: "));
    let after: f64 = after
        .expect("it is there")
        .parse()
        .expect("it is in seconds");
    assert!((590.0..=600.0).contains(&after), "{after} s");
    // The same request from another address is refused too.
    let got = site.ask(0, address(9), "c-9", CRASHING).await;
    assert_eq!(status(&got), 503, "{got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_known_to_vms_that_start_later() {
    let mut site = CrashingSite::start(4, 2, 4).await;
    site.store.set_away(true);
    until_refused(&site).await;
    // VMs that start now learn of the request from the others, whatever those have sent before.
    sleep(Duration::from_secs(1)).await;
    site.add_vms(2).await;
    sleep(KNOWN_WITHIN).await;
    assert_refused(&site, 2..4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_known_after_all_vms_start_anew() {
    let mut site = CrashingSite::start(5, 2, 4).await;
    until_refused(&site).await;
    sleep(Duration::from_millis(500)).await;
    site.restart_all().await;
    sleep(Duration::from_millis(500)).await;
    assert_refused(&site, 0..2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_cleared_by_an_operator_runs_again() {
    let site = CrashingSite::start(6, 2, 4).await;
    until_refused(&site).await;
    sleep(Duration::from_millis(500)).await;
    let held: Vec<_> = {
        let view = site.vms[0].site.view();
        let rows = view.quarantine.quarantined(Instant::now());
        rows.map(|(f, _, _)| f).collect()
    };
    let [request] = held[..] else {
        panic!("one is quarantined, not {held:?}");
    };
    let answers = [
        ("/quarantine/zz".to_owned(), 400),
        (format!("/quarantine/{request}"), 200),
        (format!("/quarantine/{request}"), 404),
    ];
    let port = operators(&site.vms[0].site).await;
    for (path, expected) in answers {
        let got = call(
            port,
            &format!("DELETE {path} HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n"),
        )
        .await;
        assert_eq!(status(&got), expected, "{path}: {got}");
    }
    // All VMs learn that the request is cleared.
    sleep(Duration::from_millis(500)).await;
    let arrivals = site.arrivals();
    site.ask(1, CALLER, "again", CRASHING).await;
    assert_eq!(site.arrivals(), arrivals + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_end_are_no_crash() {
    let site = CrashingSite::start(7, 2, 4).await;
    for n in 0..8 {
        let got = site.ask(n % 2, CALLER, &format!("x-{n}"), CUT_OFF).await;
        assert_ne!(status(&got), 503, "{got}");
        sleep(Duration::from_millis(50)).await;
    }
    let view = site.vms[0].site.view();
    assert_eq!(view.quarantine.suspects(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn end_of_an_endpoint_that_leaves_is_no_crash() {
    let site = CrashingSite::start(8, 1, 6).await;
    for n in 0..4 {
        // The endpoint is marked as leaving while the request runs.
        let s = Arc::clone(&site.vms[0].site);
        tokio::spawn(async move {
            sleep(Duration::from_millis(5)).await;
            let mut view = s.view();
            let all: Vec<_> = view.roster.iter().map(|(k, _)| k).collect();
            for key in all {
                view.roster.mark_leaving(key);
            }
        });
        site.ask(0, CALLER, &format!("c-{n}"), CRASHING).await;
        assert_eq!(site.vms[0].site.view().quarantine.suspects(), 0);
        site.relist();
    }
    assert!(site.crashes() >= 3, "{} ended", site.crashes());
}
