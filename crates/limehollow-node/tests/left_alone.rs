//! The messages of a VM that can reach no other VM and gets all callers of its zone.

mod rig;

use limehollow::roster::ModelRef;
use limehollow_node::gossip::{GossipSender, Outgoing};
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Datagram, encode};
use rig::{Plain, parse_settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, advance, sleep, timeout_at};

/// The largest number of bytes per second that the messages may cost each VM, by the sizing target.
const MAX_BYTES_PER_S: usize = 12_000;
const NEIGHBOURS: u8 = 23;

/// Returns a VM with neighbours that it has never received anything from, some time after its start.
async fn vm_with_silent_neighbours() -> Arc<Site<Plain>> {
    let own = "name = \"vm-0\"\navailability_zone = \"a\"\nip = \"127.0.0.1\"\npeer_port = 7000\n";
    let site = Site::new(parse_settings(own), Plain);
    for i in 1..=NEIGHBOURS {
        let (name, address) = (format!("vm-{i}"), ([127, 0, 0, i], 7000).into());
        let zone = site.zone.clone();
        site.view().peers.upsert(name.into(), zone, address, 250);
    }
    advance(Duration::from_secs(5)).await;
    site
}

fn bytes(outgoing: Vec<Outgoing>) -> usize {
    let sizes = outgoing.into_iter().map(|(message, to)| {
        let datagram = Datagram::Message(Box::new(message));
        encode(&datagram).expect("it can be encoded").len() * to.len()
    });
    sizes.sum()
}

/// Guards against a VM that saturates its own link: for each request for a model that isn't loaded it sent
/// a full update to VMs that were down.
#[tokio::test(start_paused = true)]
async fn bytes_with_hundreds_of_requests_for_unloaded_models() {
    let site = vm_with_silent_neighbours().await;
    let waiting = Arc::clone(&site);
    tokio::spawn(async move {
        for i in 0.. {
            let m = ModelRef {
                model: format!("model-{}", i % 50).into(),
                adapter: None,
            };
            waiting.request_load(m.into());
            sleep(Duration::from_millis(2)).await;
        }
    });
    let mut sender = GossipSender::new(site);
    let (wake_controller, end) = (Notify::new(), Instant::now() + Duration::from_secs(10));
    let mut sum = 0;
    while let Ok(outgoing) = timeout_at(end, sender.next(&wake_controller)).await {
        sum += bytes(outgoing);
    }
    assert!(sum <= 10 * MAX_BYTES_PER_S, "{sum} bytes in 10 s");
}
