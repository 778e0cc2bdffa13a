//! Endpoints that state how many requests a second they take from all VMs together.
//!
//! Guards against VMs that ignore an endpoint's limit: two overloaded endpoints stated limits of 2.8 and 3.3 requests a
//! second in their answers and went on getting ten from nine VMs, all of which had forwarded such answers: 40 requests
//! in four seconds where 25 were tolerable. The signals of an answer were used for the request at hand and then
//! dropped. The endpoints' rates were the same before and after the signal, a VM's dump had no field for the limit, and
//! added log lines showed that each VM had received the limit and went on sending.

mod rig;

use limehollow::catalog::{Catalog, ColdSpec, ServiceSpec};
use limehollow::id::ServiceName;
use limehollow::retry::Repeat;
use limehollow::roster::Endpoint;
use rig::{Does, Gateway, Server, answer, rule, status};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The limit that the endpoint states, in requests a second.
const RATE: f64 = 2.0;
/// The maximum number of requests within four seconds: one and a half times the limit, plus five.
const MAX_REACHED: usize = 17;

/// Starts an endpoint that states its limit, and gateways in front of it that know how many VMs there are.
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

/// Sends requests to all VMs at once. Returns the answers.
async fn burst(gateways: &[Gateway], requests: usize) -> Vec<String> {
    let mut requests_sent = JoinSet::new();
    for n in 0..requests {
        let address = gateways[n % gateways.len()].address;
        requests_sent.spawn(rig::ask_at(address, "/draft/1"));
    }
    requests_sent.join_all().await
}

#[tokio::test]
async fn limit_is_kept_by_one_vm_and_by_three() {
    for vms in [1, 3] {
        let (server, gateways) = start(vms).await;
        // Each VM receives the limit from the endpoint itself.
        burst(&gateways, vms).await;
        let before = server.requests();
        let answers = burst(&gateways, 60).await;
        let reached = server.requests() - before;
        assert!(
            reached <= MAX_REACHED,
            "{reached} of 60 reached the endpoint"
        );
        let refused: Vec<_> = answers.iter().filter(|a| status(a) == 503).collect();
        assert!(!refused.is_empty());
        for a in refused {
            assert!(a.contains("retry-after: "), "{a}");
        }
    }
}

/// The rate that a cold endpoint takes, in requests a second.
const COLD_RATE: f64 = 6.0;
/// The maximum number of requests that may reach the cold endpoint in the test.
const MAX_REACHED_COLD: usize = 14;

fn catalog_with_cold_start() -> Catalog {
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
async fn cold_endpoint_gets_no_more_than_its_rate() {
    for vms in [1, 3] {
        let whole = Does::Writes(answer(200, "1", "x-mark: 1\r\n", "ok"));
        let server = Server::start(vec![whole]).await;
        let mut gateways = Vec::new();
        for _ in 0..vms {
            let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[]).await;
            g.site.set_catalog(catalog_with_cold_start());
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
        assert!(reached <= MAX_REACHED_COLD, "{reached} of 60 reached it");
        let refused: Vec<_> = answers.iter().filter(|a| status(a) == 503).collect();
        assert_eq!(refused.len(), 60 - reached);
    }
}

#[tokio::test]
async fn cold_endpoint_gets_nothing_while_a_warm_one_has_capacity() {
    let whole = || Does::Writes(answer(200, "1", "x-mark: 1\r\n", "ok"));
    let (cold, warm) = (
        Server::start(vec![whole()]).await,
        Server::start(vec![whole()]).await,
    );
    let g = Gateway::start(rule("/draft/", Repeat::Never, 1), &[]).await;
    g.site.set_catalog(catalog_with_cold_start());
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
