//! Streams that are taken up while endpoints of two software versions serve side by side, over sockets.

mod rig;

use limehollow::catalog::Share;
use limehollow::peers::Peers;
use limehollow::stream_origin::StreamOrigins;
use rig::reach::whole;
use rig::versions::{Begun, VERSIONS, VersionSite, resumable_rule, streams};
use rig::{Does, Server, status};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The number of streams that each test begins.
const STREAMS: usize = 24;
/// The time within which a stream that can't be taken up is refused: what other VMs are asked, in turn.
const REFUSED_WITHIN: Duration = Duration::from_millis(300);

/// The time after which a VM has told others of its streams. One that is killed before takes along what it knows.
const TOLD_WITHIN: Duration = Duration::from_millis(100);

/// What became of streams that were taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    went_on: usize,
    refused: usize,
    other_version: usize,
}

impl Tally {
    fn all_went_on(n: usize) -> Self {
        Self {
            went_on: n,
            ..Self::default()
        }
    }
}

/// Begins streams at these VMs in turn and keeps them open, so that the endpoints of both versions get some.
async fn begin(site: &VersionSite, vms: &[usize], n: usize) -> Vec<(String, Begun)> {
    let mut open = Vec::new();
    for i in 0..n {
        let first = format!("first-{i}");
        let begun = site.begin(vms[i % vms.len()], &first).await;
        assert!(begun.has_event(), "{first}: {}", begun.text);
        open.push((first, begun));
    }
    sleep(TOLD_WITHIN).await;
    open
}

/// Takes a stream up and counts what became of it.
async fn take_up(
    site: &VersionSite,
    vm: usize,
    (id, first): (&str, &str),
    tally: &mut Tally,
) -> Begun {
    let taken = site.take_up(vm, id, first).await;
    if !taken.has_event() {
        assert_eq!(status(&taken.text), 503, "{}", taken.text);
        assert!(taken.text.contains("retry-after: "), "{}", taken.text);
        tally.refused += 1;
    } else if site.version_of(id) == site.version_of(first) {
        tally.went_on += 1;
    } else {
        tally.other_version += 1;
    }
    taken
}

/// Takes all streams up at these VMs in turn.
async fn take_up_all(site: &VersionSite, vms: &[usize], begun: &[(String, Begun)]) -> Tally {
    let (mut tally, mut open) = (Tally::default(), Vec::new());
    for (i, (first, _)) in begun.iter().enumerate() {
        let id = format!("again-{first}");
        open.push(take_up(site, vms[i % vms.len()], (&id, first), &mut tally).await);
    }
    tally
}

/// Returns how many of these streams began at the first version.
fn at_first_version(site: &VersionSite, begun: &[(String, Begun)]) -> usize {
    let versions = begun.iter().filter_map(|(id, _)| site.version_of(id));
    versions.filter(|v| *v == VERSIONS[0]).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_only_at_the_version_that_began_it() {
    let site = VersionSite::start(41, 3, 6).await;
    let (mut tally, mut open) = (Tally::default(), Vec::new());
    for n in 0..STREAMS {
        let first = format!("first-{n}");
        let (vm, later) = (n % 6, (n * 5 + n / 6 + 1) % 6);
        let begun = site.begin(vm, &first).await;
        assert!(begun.has_event(), "{first}");
        // The streams stay open, so that the endpoints of both versions get some.
        open.push(begun);
        let id = format!("again-{first}");
        open.push(take_up(&site, later, (&id, &first), &mut tally).await);
    }
    assert_eq!(tally, Tally::all_went_on(STREAMS));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_vm_that_was_killed_go_on() {
    let mut site = VersionSite::start(42, 3, 6).await;
    let begun = begin(&site, &[0], STREAMS).await;
    let first = at_first_version(&site, &begun);
    assert!(0 < first && first < STREAMS, "{first}");
    site.kill(0);
    // 3 is in the same zone, the others aren't.
    let tally = take_up_all(&site, &[3, 1, 2, 4, 5], &begun).await;
    assert_eq!(tally, Tally::all_went_on(STREAMS));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_zone_that_was_killed_go_on_in_the_others() {
    let mut site = VersionSite::start(43, 3, 9).await;
    let zone = site.zone(0);
    let begun = begin(&site, &zone, STREAMS).await;
    for vm in zone {
        site.kill(vm);
    }
    let tally = take_up_all(&site, &[1, 2, 4, 5, 7, 8], &begun).await;
    assert_eq!(tally, Tally::all_went_on(STREAMS));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_while_all_vms_are_restarted_in_turn() {
    let mut site = VersionSite::start(44, 3, 9).await;
    let mut begun = begin(&site, &(0..9).collect::<Vec<_>>(), STREAMS).await;
    let mut at: Vec<usize> = (0..STREAMS).map(|i| i % 9).collect();
    let mut tally = Tally::default();
    let mut taken_up = 0;
    for vm in 0..9 {
        site.stop(vm).await;
        for (i, (first, stream)) in begun.iter_mut().enumerate() {
            if at[i] != vm {
                continue;
            }
            // Another VM of the zone, as the balancer would choose.
            at[i] = (vm + 3) % 9;
            let id = format!("again-{vm}-{first}");
            *stream = take_up(&site, at[i], (&id, first), &mut tally).await;
            taken_up += 1;
        }
        site.start_again(vm).await;
        sleep(Duration::from_millis(1200)).await;
    }
    assert!(taken_up >= STREAMS, "{taken_up}");
    assert_eq!(tally, Tally::all_went_on(taken_up));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_refused_after_all_vms_were_killed_at_once() {
    let mut site = VersionSite::start(45, 3, 6).await;
    let begun = begin(&site, &[0, 1, 2, 3, 4, 5], STREAMS).await;
    for vm in 0..6 {
        site.kill(vm);
    }
    for vm in 0..6 {
        site.start_again(vm).await;
    }
    site.settle().await;
    let tally = take_up_all(&site, &[0, 1, 2, 3, 4, 5], &begun).await;
    let expected = Tally {
        refused: STREAMS,
        ..Tally::default()
    };
    assert_eq!(tally, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_nobody_knows_is_refused_at_once() {
    let site = VersionSite::start(46, 3, 6).await;
    let began = Instant::now();
    let named = site.take_up(0, "1", "never-begun").await;
    let unnamed = site.take_up_unnamed(0, "2").await;
    let took = began.elapsed();
    assert!(took < 2 * REFUSED_WITHIN, "{took:?}");
    for got in [named, unnamed] {
        assert_eq!(status(&got.text), 503, "{}", got.text);
        assert!(retry_after(&got.text) > 15.0, "{}", got.text);
    }
    assert!(site.endpoints.iter().all(|(s, _)| s.requests() == 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_may_come_back_to_a_vm_that_starts() {
    let mut site = VersionSite::start(54, 1, 2).await;
    let begun = begin(&site, &[0], 1).await;
    // Another VM may know the stream, of which this one hasn't heard yet.
    site.kill(0);
    site.vms[1].site.view().has_vms = false;
    site.vms[1].site.view().peers = Peers::new("vm-1".into(), "z0".into(), 250);
    site.vms[1].site.view().stream_origins = StreamOrigins::default();
    let taken = site.take_up(1, "again", &begun[0].0).await;
    assert_eq!(status(&taken.text), 503, "{}", taken.text);
    assert!(retry_after(&taken.text) <= 1.0, "{}", taken.text);
}

/// Returns the seconds after which the caller may come back.
fn retry_after(text: &str) -> f64 {
    let value = text.split("retry-after: ").nth(1);
    let value = value.and_then(|v| v.split("\r\n").next());
    value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_version_leaves_is_refused_at_once() {
    let site = VersionSite::start(47, 1, 2).await;
    let begun = begin(&site, &[0, 1], STREAMS).await;
    let first = at_first_version(&site, &begun);
    assert!(0 < first && first < STREAMS, "{first}");
    site.relist(0, |e| e.leaving = true);
    let start = Instant::now();
    let tally = take_up_all(&site, &[0, 1], &begun).await;
    assert!(
        start.elapsed() < REFUSED_WITHIN * 4,
        "{:?}",
        start.elapsed()
    );
    let expected = Tally {
        went_on: STREAMS - first,
        refused: first,
        other_version: 0,
    };
    assert_eq!(tally, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_of_a_stream_that_is_taken_up_keeps_the_version() {
    let not_run =
        Does::Writes(b"HTTP/1.1 503 x\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_vec());
    let once = Server::start(vec![streams(), not_run]).await;
    let other = Server::start(vec![streams()]).await;
    let site = VersionSite::with(48, 1, 2, vec![(once, "v1"), (other, "v1.1")]).await;
    let begun = begin(&site, &[0], 1).await;
    assert_eq!(site.version_of("first-0"), Some("v1"));
    let taken = site.take_up(1, "again", &begun[0].0).await;
    assert_eq!(status(&taken.text), 503, "{}", taken.text);
    // The endpoint that refused it may take it soon.
    assert!(retry_after(&taken.text) <= 1.0, "{}", taken.text);
    assert_eq!(site.endpoints[1].0.requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_comes_back_at_another_version_takes_no_earlier_stream() {
    let only = Server::start(vec![streams()]).await;
    let site = VersionSite::with(49, 1, 2, vec![(only, "v1")]).await;
    let begun = begin(&site, &[0], 1).await;
    site.relist(0, |e| e.software = Some("v1.1".into()));
    let mut tally = Tally::default();
    take_up(&site, 1, ("again", &begun[0].0), &mut tally).await;
    assert_eq!(tally.refused, 1);
    assert_eq!(site.endpoints[0].0.requests(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_stays_at_its_service_if_the_rule_leads_to_several() {
    let site = VersionSite::start(50, 1, 2).await;
    let begun = begin(&site, &[0], 4).await;
    let share = |service: &str, weight| Share {
        service: service.into(),
        weight,
    };
    let mut split = resumable_rule();
    split.shares = vec![share("other", 99), share("portal", 1)];
    site.set_rule(2, &split);
    let tally = take_up_all(&site, &[1], &begun).await;
    assert_eq!(tally, Tally::all_went_on(4));
    // Requests of the rule go to another service now, which began none of these streams.
    split.shares = vec![share("other", 1)];
    site.set_rule(3, &split);
    let tally = take_up_all(&site, &[1], &begun).await;
    assert_eq!(tally.refused, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_takes_nothing_up_goes_to_any_version() {
    let plain = Server::start(vec![whole("done")]).await;
    let site = VersionSite::with(51, 1, 1, vec![(plain, "v1")]).await;
    site.relist(0, |e| e.software = None);
    let got = site.begin(0, "1").await;
    assert_eq!(status(&got.text), 200, "{}", got.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_nobody_knows_goes_on_if_the_service_never_had_another_version() {
    let servers = vec![
        (Server::start(vec![streams()]).await, "v1"),
        (Server::start(vec![streams()]).await, "v1"),
    ];
    let mut site = VersionSite::with(52, 1, 3, servers).await;
    site.refresh_lists();
    assert!(site.take_up_unnamed(0, "1").await.has_event());
    assert!(site.take_up(0, "2", "never-begun").await.has_event());
    // A VM that starts learns from another one that there was no other version.
    site.kill(1);
    site.start_again(1).await;
    site.refresh_lists();
    assert!(!site.take_up_unnamed(1, "3").await.has_event());
    for _ in 0..10 {
        sleep(Duration::from_millis(250)).await;
        site.refresh_lists();
    }
    assert!(site.take_up_unnamed(1, "4").await.has_event());
    // From the first entry of another version on, the proof fails.
    site.relist(1, |e| e.software = Some("v1.1".into()));
    assert!(!site.take_up_unnamed(0, "5").await.has_event());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_nobody_knows_is_refused_by_a_vm_whose_list_is_old() {
    let servers = vec![(Server::start(vec![streams()]).await, "v1")];
    let site = VersionSite::with(53, 1, 1, servers).await;
    site.refresh_lists();
    sleep(Duration::from_millis(1100)).await;
    assert!(!site.take_up_unnamed(0, "1").await.has_event());
}
