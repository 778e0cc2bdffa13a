//! Endpoints that say how many requests a second they take of all VMs together.
//!
//! What users saw: two endpoints in need named limits of 2.8 and 3.3 requests a second in their answers and went on getting ten, from
//! nine VMs that all had passed such answers on; 40 in four seconds where 25 would have been borne. Order of events: the endpoints name
//! their limits; no VM's rate changes; it stays so for as long as the limits stand. Cause: what an answer says of its endpoint
//! was used for the request at hand and then forgotten. Evidence: the endpoints' rates before and after the word are the same, a
//! VM's dump had no place for it, and with lines for it each VM shows that it heard the limit and sent on.

mod rig;

use limehollow::catalog::{Catalog, ColdSpec, ServiceSpec};
use limehollow::id::ServiceName;
use limehollow::retry::Repeat;
use limehollow::roster::Endpoint;
use rig::{Does, Gateway, Server, answer, rule, status};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What the endpoint takes, in requests a second.
const RATE: f64 = 2.0;
/// What it bears in four seconds: one and a half times that, and five.
const BORNE: usize = 17;

/// Starts an endpoint that names its limit, and some VMs before it that know how many they are.
async fn start(vms: usize) -> (Server, Vec<Gateway>) {
    let head = format!("x-mark: 1\r\nx-rate: {RATE}\r\n");
    let server = Server::start(vec![Does::Writes(answer(200, "1", &head, "ok"))]).await;
    let mut gateways = Vec::new();
    for _ in 0..vms {
        let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[server.address]).await;
        g.site.view().update_vm_count(Instant::now(), vms);
        gateways.push(g);
    }
    (server, gateways)
}

/// Has callers send requests to all VMs at once. Gives the answers.
async fn burst(gateways: &[Gateway], requests: usize) -> Vec<String> {
    let mut asking = JoinSet::new();
    for n in 0..requests {
        let address = gateways[n % gateways.len()].address;
        asking.spawn(rig::ask_at(address, "/draft/1"));
    }
    asking.join_all().await
}

#[tokio::test]
async fn limit_of_an_endpoint_before_one_vm_and_three() {
    for vms in [1, 3] {
        let (server, gateways) = start(vms).await;
        // Each VM hears the limit from the endpoint itself.
        burst(&gateways, vms).await;
        let before = server.requests();
        let answers = burst(&gateways, 60).await;
        let reached = server.requests() - before;
        assert!(reached <= BORNE, "{reached} of 60 reached the endpoint");
        let refused: Vec<_> = answers.iter().filter(|a| status(a) == 503).collect();
        assert!(!refused.is_empty());
        for a in refused {
            assert!(a.contains("retry-after: "), "{a}");
        }
    }
}

/// What a cold endpoint bears in a second beyond its rate.
const COLD_RATE: f64 = 6.0;
const BORNE_COLD: usize = 14;

fn portal_is_cold_at_first() -> Catalog {
    let spec = ServiceSpec {
        health_path: "/health".into(),
        max_connections: 100,
        engine: None,
        cold: Some(ColdSpec {
            start: Duration::from_secs(3),
            rate: COLD_RATE,
        }),
    };
    let services = [(ServiceName::from("portal"), spec)];
    let rules = vec![rule("/draft/", Repeat::Never, 1)];
    let plain = rig::catalog(2, Vec::new());
    Catalog::new(2, rules, services.into(), plain.limits)
}

#[tokio::test]
async fn cold_endpoint_gets_what_it_bears() {
    for vms in [1, 3] {
        let whole = Does::Writes(answer(200, "1", "x-mark: 1\r\n", "ok"));
        let server = Server::start(vec![whole]).await;
        let mut gateways = Vec::new();
        for _ in 0..vms {
            let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[]).await;
            g.site.set_catalog(portal_is_cold_at_first());
            let mut view = g.site.view();
            view.update_vm_count(Instant::now(), vms);
            let cold = Endpoint {
                cold_ms: 60_000,
                ..rig::endpoint(0, server.address)
            };
            view.list(Instant::now(), cold);
            drop(view);
            gateways.push(g);
        }
        let answers = burst(&gateways, 60).await;
        let reached = server.requests();
        assert!(reached <= BORNE_COLD, "{reached} of 60 reached it");
        let refused: Vec<_> = answers.iter().filter(|a| status(a) == 503).collect();
        assert_eq!(refused.len(), 60 - reached);
    }
}

#[tokio::test]
async fn cold_endpoint_is_left_alone_while_others_have_room() {
    let whole = || Does::Writes(answer(200, "1", "x-mark: 1\r\n", "ok"));
    let (cold, warm) = (
        Server::start(vec![whole()]).await,
        Server::start(vec![whole()]).await,
    );
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[]).await;
    g.site.set_catalog(portal_is_cold_at_first());
    for (i, server, cold_ms) in [(0, &cold, 60_000), (1, &warm, 0)] {
        let listed = Endpoint {
            cold_ms,
            ..rig::endpoint(i, server.address)
        };
        g.site.view().list(Instant::now(), listed);
    }
    let answers = burst(&[g], 20).await;
    assert!(answers.iter().all(|a| status(a) == 200));
    assert_eq!((cold.requests(), warm.requests()), (0, 20));
}
