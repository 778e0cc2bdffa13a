//! VMs that reach no endpoint while callers and the other VMs reach them, over sockets.

mod rig;

use limehollow::fingerprint::{Fingerprint, Identity};
use limehollow::retry::Repeat;
use limehollow_node::caller;
use limehollow_node::site::Site;
use rig::reach::{CutOffSite, Way, whole};
use rig::versions::{ask_for_stream, resumable_rule, streams};
use rig::{Does, Plain, request, rule, settings, status};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The time in which a VM has to notice that it reaches no endpoint: a third of what the requirements allow.
const NOTICED_WITHIN: Duration = Duration::from_millis(1000);
/// The longest time to an answer from then on.
const ANSWERED_WITHIN: Duration = Duration::from_millis(400);
/// How long a VM waits for one endpoint to take a connection.
const ONE_CONNECT: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_vms_that_reach_no_endpoint_are_served() {
    for (net, way) in [(21, Way::Hangs), (22, Way::Refuses)] {
        let site =
            CutOffSite::start(net, rule("/a/", Repeat::Never, 1), 3, 6, &[whole("done")]).await;
        // In each zone one VM of two.
        for vm in 0..3 {
            site.set_way(vm, way).await;
        }
        let began = Instant::now();
        while began.elapsed() < NOTICED_WITHIN {
            for vm in 0..3 {
                site.ask(vm, "early").await;
            }
        }
        for vm in 0..6 {
            for (got, took) in site.ask_times(vm, 10, PAUSE).await {
                assert_eq!(status(&got), 200, "{way:?}, vm {vm}: {got}");
                assert!(took < ANSWERED_WITHIN, "{way:?}, vm {vm}: {took:?}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_vm_that_is_cut_off_are_not_suspected_of_crashes() {
    let does = [whole("done"), Does::Closes];
    let site = CutOffSite::start(23, rule("/a/", Repeat::Never, 1), 3, 1, &does).await;
    while site.arrivals() < site.endpoints.len() {
        site.ask(0, "1").await;
    }
    site.set_way(0, Way::Refuses).await;
    // These go out on open connections, which the endpoints close.
    for _ in 0..10 {
        site.ask(0, "1").await;
    }
    sleep(Duration::from_millis(300)).await;
    let request = Fingerprint::of(&Identity {
        caller: "",
        method: "POST",
        host: "portal.example",
        path: "/a/x",
        body: b"a body",
    });
    let vm = &site.vms[0].site;
    assert!(vm.view().quarantine.record(vm.now(), request).is_none());
}

/// Sends requests to a VM until it knows that it reaches no endpoint.
async fn notice(site: &CutOffSite, vm: usize) {
    let began = Instant::now();
    while !site.vms[vm].site.view().own_reach.is_cut() {
        assert!(began.elapsed() < 3 * NOTICED_WITHIN, "vm {vm}");
        site.ask(vm, "early").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_where_no_vm_reaches_an_endpoint() {
    let site = CutOffSite::start(24, rule("/a/", Repeat::Never, 1), 3, 3, &[whole("done")]).await;
    for vm in 0..3 {
        site.set_way(vm, Way::Hangs).await;
    }
    for vm in 0..3 {
        notice(&site, vm).await;
    }
    // The last of them has told the others.
    sleep(Duration::from_millis(500)).await;
    for vm in 0..3 {
        for (got, took) in site.ask_times(vm, 5, PAUSE).await {
            assert_eq!(status(&got), 503, "vm {vm}: {got}");
            assert!(got.contains("retry-after: 0."), "vm {vm}: {got}");
            assert!(took < ONE_CONNECT, "vm {vm}: {took:?}");
        }
    }
    assert_eq!(site.arrivals(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_uses_endpoints_again_after_a_cut() {
    let site = CutOffSite::start(25, rule("/a/", Repeat::Never, 1), 3, 3, &[whole("done")]).await;
    site.set_way(0, Way::Hangs).await;
    notice(&site, 0).await;
    sleep(Duration::from_secs(1)).await;
    site.set_way(0, Way::Open).await;
    sleep(NOTICED_WITHIN).await;
    let vm = &site.vms[0].site;
    assert!(!vm.view().own_reach.is_cut());
    let keys: Vec<_> = vm.view().roster.iter().map(|(k, _)| k).collect();
    let ejected = |k| vm.view().balance.is_ejected(vm.now(), k);
    assert!(!keys.into_iter().any(ejected), "it blames endpoints");
    let (got, _) = site.ask(0, "late").await;
    assert_eq!(status(&got), 200, "{got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_passed_on_goes_on_at_the_version_that_began_it() {
    let site = CutOffSite::start(29, resumable_rule(), 3, 6, &[streams()]).await;
    site.set_way(0, Way::Refuses).await;
    notice(&site, 0).await;
    sleep(Duration::from_millis(500)).await;
    let mut open = Vec::new();
    for n in 0..12 {
        let (first, again) = (format!("first-{n}"), format!("again-{n}"));
        let begun = ask_for_stream(site.vms[n % 6].address, &first, "").await;
        assert!(begun.has_event(), "{first}: {}", begun.text);
        open.push(begun);
        let more = format!("x-last-event: 1\r\nx-takes-up: {first}\r\n");
        let taken = ask_for_stream(site.vms[0].address, &again, &more).await;
        assert!(taken.has_event(), "{again}: {}", taken.text);
        open.push(taken);
        assert_eq!(site.version_of(&again), site.version_of(&first), "{n}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_passed_on_arrives_as_it_comes_and_ends_with_its_caller() {
    let head = "HTTP/1.1 200 x\r\nx-mark: m\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let event = format!("{head}9\r\ndata: a\n\n\r\n");
    let mut r = rule("/a/", Repeat::Never, 1);
    r.stream = true;
    r.timeout = Duration::from_secs(20);
    let does = [Does::WritesAndWaits(event.into_bytes())];
    let site = CutOffSite::start(26, r, 3, 3, &does).await;
    site.set_way(0, Way::Refuses).await;
    notice(&site, 0).await;
    let mut c = TcpStream::connect(site.vms[0].address)
        .await
        .expect("it accepts");
    c.write_all(request("/a/x", "1", "", "").as_bytes())
        .await
        .expect("it is written");
    let mut got = String::new();
    while !got.contains("data: a") {
        let mut buf = [0; 4096];
        let read = timeout(Duration::from_secs(2), c.read(&mut buf)).await;
        let n = read.expect("the event comes").expect("it is read");
        assert!(n > 0, "{got}");
        got.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
    let left = || -> usize {
        let all = site.endpoints.iter();
        all.map(|e| e.left.load(Ordering::Relaxed)).sum()
    };
    let before = left();
    drop(c);
    let began = Instant::now();
    while left() == before {
        assert!(began.elapsed() < Duration::from_millis(400), "it runs on");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_breaks_off_at_the_vm_that_took_it_over_is_not_called_unrun() {
    let site = CutOffSite::start(27, rule("/a/", Repeat::Never, 1), 3, 3, &[Does::Closes]).await;
    site.set_way(0, Way::Refuses).await;
    notice(&site, 0).await;
    let before = site.arrivals();
    let (got, _) = site.ask(0, "1").await;
    assert_eq!((status(&got), site.arrivals()), (502, before + 1), "{got}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_requests_that_were_taken_over() {
    let site = Site::new(settings(), Plain);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(caller::serve(Arc::clone(&site), listener, stopped));
    let permit = Arc::clone(&site.taken_over).try_acquire_owned();
    let permit = permit.expect("none is taken over yet");
    stop.send(true).expect("it is served");
    // The listener stays open for 2.8 s.
    sleep(Duration::from_millis(3300)).await;
    assert!(!serving.is_finished());
    drop(permit);
    let ended = timeout(Duration::from_secs(1), serving).await;
    assert!(ended.is_ok(), "it waits on");
}
