//! Endpoints whose reports and refusals don't end, over sockets.

mod rig;

use limehollow::id::EndpointKey;
use limehollow::retry::Repeat;
use limehollow_node::attempt::{LimitGrant, Target};
use limehollow_node::endpoint_report::{self, ReportError};
use rig::unending::{
    FRAMINGS, Framing, MAX_GROWTH_KB, ask, closed, gateway, peak_resident_kb, plain_rule,
    resident_kb, whole, without_end,
};
use rig::{Does, Gateway, Server};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What an endpoint writes at most, so that the tests spare their machine.
const MOST: usize = 32 << 20;
const REPORTS: usize = 10;

fn target(g: &Gateway, s: &Server) -> Target {
    let view = g.site.view();
    let key: EndpointKey = view.roster.key("i-0").expect("it is listed");
    Target {
        key,
        instance: "i-0".into(),
        address: s.address,
        grant: LimitGrant::Exempt,
        slot: None,
        causes: None,
    }
}

/// Guards against the VM that gives the orders going over its memory because of reports that don't end.
#[tokio::test(flavor = "multi_thread")]
async fn reports_without_end_are_given_up() {
    for framing in FRAMINGS {
        let s = Server::start(vec![without_end(200, framing, MOST)]).await;
        let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
        let before = resident_kb();
        let mut reading = JoinSet::new();
        for _ in 0..REPORTS {
            let (site, to) = (Arc::clone(&g.site), target(&g, &s));
            reading.spawn(async move { endpoint_report::read(&site, &to).await });
        }
        while let Some(read) = reading.join_next().await {
            let read = read.expect("it doesn't panic");
            assert!(
                matches!(read, Err(ReportError::TooLarge)),
                "{framing:?}: {read:?}"
            );
        }
        let growth = peak_resident_kb().saturating_sub(before);
        println!("{framing:?}: {growth} kB");
        assert!(growth < MAX_GROWTH_KB, "{framing:?}: {growth} kB");
        closed(&s, REPORTS).await;
    }
}

/// Guards against a bound that sound reports exceed.
#[tokio::test(flavor = "multi_thread")]
async fn large_report_is_read_whole() {
    let s = Server::start(vec![whole(200, Framing::Chunks, 400_000)]).await;
    let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
    let read = endpoint_report::read(&g.site, &target(&g, &s)).await;
    // The protocol of these tests has no reports, so it is read whole and can't be parsed.
    assert!(
        matches!(read, Err(ReportError::Malformed { .. })),
        "{read:?}"
    );
}

/// Guards against connections that a refusal without end keeps for as long as its endpoint likes.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_pauses_is_not_waited_for() {
    let head = "HTTP/1.1 503 x\r\nx-not-run: 1\r\ncontent-length: 100\r\n\r\nhalf";
    let s = Server::start(vec![Does::WritesAndWaits(head.into())]).await;
    let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
    let began = Instant::now();
    assert_eq!(ask(g.address, "1").await.status, 503);
    closed(&s, 1).await;
    assert!(began.elapsed() < Duration::from_secs(5));
}
