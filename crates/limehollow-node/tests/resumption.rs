//! Streams that are taken up while endpoints of two software versions serve side by side, over sockets.

mod rig;

use rig::versions::{Begun, VersionSite};

/// The number of streams that each test begins.
const STREAMS: usize = 24;

#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    went_on: usize,
    other_version: usize,
}

/// Takes a stream up and counts what became of it.
async fn take_up(site: &VersionSite, vm: usize, first: &str, tally: &mut Tally) -> Begun {
    let id = format!("again-{first}");
    let taken = site.take_up(vm, &id, first).await;
    if taken.has_event() {
        tally.went_on += 1;
        if site.version_of(&id) != site.version_of(first) {
            tally.other_version += 1;
        }
    }
    taken
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_only_at_the_version_that_began_it() {
    let site = VersionSite::start(41, 3, 6, 1).await;
    let (mut tally, mut open) = (Tally::default(), Vec::new());
    for n in 0..STREAMS {
        let first = format!("first-{n}");
        let (vm, later) = (n % 6, (n * 5 + n / 6 + 1) % 6);
        let begun = site.begin(vm, &first).await;
        assert!(begun.has_event(), "{first}");
        // The streams stay open, so that the endpoints of both versions get some.
        open.push(begun);
        open.push(take_up(&site, later, &first, &mut tally).await);
    }
    let expected = Tally {
        went_on: STREAMS,
        other_version: 0,
    };
    assert_eq!(tally, expected);
}
