//! What a zone says of its endpoints fits in datagrams, however many they are, and nothing of it is lost on the way.
//!
//! What users saw: with many hundred endpoints in use in a zone, the other zones sent nothing there, and took its VMs for gone.
//! Order of events: the sums of a zone name each endpoint in use; the message grows beyond what a datagram holds; the sending fails, and
//! only a line at the lowest level says so. Cause: a message has no bound, a datagram has. Evidence: with 4,000 endpoints the message of
//! a zone has some 200 kB.

mod rig;

use limehollow::balance::{Bounds, Choice, Taken};
use limehollow::id::ServiceName;
use limehollow::instance::Instance;
use limehollow::job::Job;
use limehollow::roster::Endpoint;
use limehollow_node::gossip::{GossipSender, handle_message};
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Datagram, Message, Scope, encode};
use rig::{Plain, endpoint, parse_settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The most bytes of a datagram: some fragments of a usual link.
const MOST_BYTES: usize = 16 << 10;

fn vm(name: &str, zone: &str, ip: &str, endpoints: usize) -> Arc<Site<Plain>> {
    let own = format!(
        "name = \"{name}\"\navailability_zone = \"{zone}\"\nip = \"{ip}\"\npeer_port = 7000\n"
    );
    let site = Site::new(parse_settings(&own), Plain);
    for i in 0..endpoints {
        site.view().list(Instant::now(), listed(i));
    }
    site
}

fn listed(i: usize) -> Endpoint {
    endpoint(i, ([127, 0, 0, 1], 9000).into())
}

/// Has a VM say that its zone has requests at the endpoints of these numbers. Gives the messages to the other zone.
fn sums(
    from: &Arc<Site<Plain>>,
    sender: &mut GossipSender<Plain>,
    busy: std::ops::Range<usize>,
) -> Vec<Message> {
    let now = Instant::now();
    let taken = Taken {
        requests: 5.0,
        ..Taken::default()
    };
    let rows: Vec<(Instance, Taken)> = busy.map(|i| (listed(i).instance, taken)).collect();
    from.view().taken.insert("vm-9".into(), (now, rows));
    let out = sender.full_update(now);
    let zone = out.into_iter().filter(|(m, _)| m.scope == Scope::Zone);
    zone.map(|(m, _)| m).collect()
}

/// Gives the endpoint to which another VM sends its next request.
fn choice(site: &Site<Plain>) -> Option<Instance> {
    let view = site.view();
    let bounds = Bounds {
        kv_tokens: None,
        reading_ms: f64::INFINITY,
    };
    let job = Job::plain(ServiceName::from("portal"), 0);
    match view
        .balance
        .choose(Instant::now(), &view.roster, bounds, &job, &[])
    {
        Choice::To(key, _) => view.roster.get(key).map(|e| e.instance.clone()),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn sums_of_a_zone_fit_in_datagrams() {
    for endpoints in [1, 30, 1_000, 4_000] {
        let here = vm("vm-1", "a", "127.0.0.1", endpoints);
        let there = vm("vm-2", "b", "127.0.0.2", endpoints);
        here.view().peers.upsert(
            "vm-2".into(),
            "b".into(),
            ([127, 0, 0, 2], 7000).into(),
            250,
        );
        let mut sender = GossipSender::new(Arc::clone(&here));
        // All but the last are busy, then only the first half: what was said before must not stay.
        for (busy, free) in [
            (0..endpoints - 1, endpoints - 1..endpoints),
            (0..endpoints / 2, endpoints / 2..endpoints),
        ] {
            tokio::time::advance(Duration::from_millis(300)).await;
            let messages = sums(&here, &mut sender, busy);
            assert!(!messages.is_empty(), "{endpoints} endpoints");
            for m in messages {
                let bytes = encode(&Datagram::Message(Box::new(m.clone())));
                let bytes = bytes.expect("it can be written").len();
                assert!(bytes <= MOST_BYTES, "{endpoints} endpoints: {bytes} B");
                handle_message(&there, m);
            }
            let chosen = choice(&there).expect("there are endpoints");
            let is_free = free.clone().any(|i| listed(i).instance == chosen);
            assert!(is_free, "{endpoints} endpoints: {chosen} is busy");
        }
    }
}
