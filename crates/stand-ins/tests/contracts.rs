//! The contracts of `docs/interfaces.md`, run against the stand-ins: what a real platform, engine or
//! service has to do as well.

use limehollow_wire::platform::{Appended, Member, Members, Records};
use serde_json::{Value, json};
use stand_ins::engine::{Engine, EngineSettings, word};
use stand_ins::platform::{Platform, PlatformSettings};
use stand_ins::run::free_address;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(30);

struct Peer {
    base: String,
    client: reqwest::Client,
}

impl Peer {
    async fn up(address: &str) -> Self {
        let client = reqwest::Client::builder().no_proxy().timeout(LONG).build();
        let p = Self {
            base: format!("http://{address}"),
            client: client.expect("a client"),
        };
        let end = Instant::now() + LONG;
        while p
            .client
            .get(format!("{}/healthz", p.base))
            .send()
            .await
            .is_err()
        {
            assert!(Instant::now() < end, "{address} does not answer");
            sleep(Duration::from_millis(10)).await;
        }
        p
    }

    async fn post(&self, path: &str, body: &Value) -> reqwest::Response {
        let req = self.client.post(format!("{}{path}", self.base)).json(body);
        req.send().await.expect("it answers")
    }

    async fn get(&self, path: &str) -> reqwest::Response {
        self.client
            .get(format!("{}{path}", self.base))
            .send()
            .await
            .expect("it answers")
    }

    async fn read(&self, from: u64, wait_ms: u64) -> Records {
        let path = format!("/log/s/read?from={from}&limit=100&wait_ms={wait_ms}");
        self.get(&path).await.json().await.expect("records")
    }

    async fn append(&self, records: &[&str]) -> u64 {
        let res = self
            .post("/log/s/append", &json!({ "records": records }))
            .await;
        res.json::<Appended>().await.expect("an offset").first
    }
}

async fn platform(retention_ms: u64, members_lag_ms: u64) -> Peer {
    let address = free_address();
    let settings = PlatformSettings {
        address: address.clone(),
        zone_addresses: std::iter::empty().collect(),
        retention_ms,
        members_lag_ms,
        loads_per_second: 20.0,
        loads_at_once: 10,
        load_ms: 1,
        members: Vec::new(),
    };
    tokio::spawn(Platform::new(settings).serve());
    Peer::up(&address).await
}

#[tokio::test]
async fn log_append_and_read() {
    let p = platform(600_000, 0).await;
    assert_eq!(p.append(&["a", "b"]).await, 0);
    assert_eq!(p.append(&["c"]).await, 2);
    let r = p.read(1, 0).await;
    let texts: Vec<&str> = r.records.iter().map(|r| r.data.as_str()).collect();
    assert_eq!((r.first, r.next, texts), (0, 3, vec!["b", "c"]));
    assert!(r.records.windows(2).all(|w| w[0].at_ms <= w[1].at_ms));
}

#[tokio::test]
async fn log_read_waits_for_the_next() {
    let p = platform(600_000, 0).await;
    let (read, _) = tokio::join!(p.read(0, 20_000), async {
        sleep(Duration::from_millis(50)).await;
        p.append(&["late"]).await
    });
    assert_eq!(read.records[0].data, "late");
}

#[tokio::test]
async fn log_forgets() {
    let p = platform(1, 0).await;
    p.append(&["old"]).await;
    sleep(Duration::from_millis(50)).await;
    p.append(&["new"]).await;
    let r = p.read(0, 0).await;
    assert_eq!((r.first, r.next, r.records.len()), (1, 2, 1));
}

#[tokio::test]
async fn log_faults() {
    let p = platform(600_000, 0).await;
    p.post(
        "/faults",
        &json!({ "lose_append_answers": 1, "drop_appends": 0 }),
    )
    .await;
    let lost = p.post("/log/s/append", &json!({ "records": ["x"] })).await;
    assert_eq!(lost.status(), 504);
    assert_eq!(p.read(0, 0).await.records.len(), 1, "it took effect");
    p.post("/faults", &json!({ "log_down": true })).await;
    assert_eq!(p.get("/log/s/read?from=0&limit=1").await.status(), 503);
}

#[tokio::test]
async fn members_lag() {
    let p = platform(600_000, 200).await;
    let row = Member {
        vm: "e".into(),
        zone: "a".into(),
        address: "127.0.0.1:1".into(),
        kind: "engine".into(),
        leaving: false,
        checks_fencing: true,
        service: None,
    };
    let put = p
        .client
        .put(format!("{}/members/e", p.base))
        .json(&row)
        .send()
        .await;
    assert!(put.expect("it answers").status().is_success());
    let end = Instant::now() + LONG;
    loop {
        let m: Members = p.get("/members").await.json().await.expect("a list");
        if m.members == [row.clone()] {
            break;
        }
        assert!(m.members.is_empty() && Instant::now() < end);
        sleep(Duration::from_millis(10)).await;
    }
}

async fn engine(checks_fencing: bool) -> Peer {
    let p = platform(600_000, 0).await;
    let address = free_address();
    let settings = EngineSettings {
        name: "e".into(),
        address: address.clone(),
        platform: p.base.trim_start_matches("http://").to_owned(),
        accelerators: vec![100],
        checks_fencing,
        slots: 2,
        first_token_ms: 1,
        per_token_ms: 1,
        report_lag_ms: 0,
    };
    tokio::spawn(Engine::new(settings, 7).serve());
    Peer::up(&address).await
}

fn order(number: u64, action: &str) -> Value {
    json!({ "number": number, "accelerator": 0, "action": action, "model": "m", "version": "1",
            "bytes": 10 })
}

impl Peer {
    async fn load(&self, number: u64) {
        assert_eq!(
            self.post("/orders", &order(number, "load")).await.status(),
            202
        );
        let end = Instant::now() + LONG;
        while !self
            .get("/state")
            .await
            .text()
            .await
            .expect("a state")
            .contains("\"ready\"")
        {
            assert!(Instant::now() < end, "the model is not loaded");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn engine_fencing() {
    for (checks, status) in [(true, 409), (false, 202)] {
        let e = engine(checks).await;
        e.load(5).await;
        let fenced: Value = e
            .post("/fence", &json!({ "number": 9 }))
            .await
            .json()
            .await
            .expect("JSON");
        assert_eq!(fenced["incarnation"], 7);
        assert_eq!(
            e.post("/orders", &order(8, "unload")).await.status(),
            status,
            "checks: {checks}"
        );
        assert_eq!(
            e.post("/fence", &json!({ "number": 3 })).await.status(),
            409
        );
    }
}

#[tokio::test]
async fn engine_says_not_run() {
    let e = engine(true).await;
    let res = e
        .post("/v1/completions", &json!({ "model": "m", "prompt": "x" }))
        .await;
    assert_eq!(
        (
            res.status().as_u16(),
            res.headers().contains_key("x-engine-not-run")
        ),
        (404, true)
    );
    let history: Vec<Value> = e.get("/history").await.json().await.expect("a history");
    assert!(history.is_empty(), "it did not run");
}

#[tokio::test]
async fn engine_resumes() {
    let e = engine(true).await;
    e.load(1).await;
    let body = json!({ "model": "m", "prompt": "x", "max_tokens": 4 });
    let req = e
        .client
        .post(format!("{}/v1/completions", e.base))
        .json(&body);
    let res = req
        .header("x-engine-resume-from", "2")
        .send()
        .await
        .expect("it answers");
    let v: Value = res.json().await.expect("JSON");
    let text = word("x", 2) + &word("x", 3);
    assert_eq!(v["choices"][0]["text"], text);
}

#[tokio::test]
async fn engine_orders_are_idempotent() {
    let e = engine(false).await;
    e.load(1).await;
    assert_eq!(e.post("/orders", &order(2, "load")).await.status(), 202);
    let state: Value = e.get("/state").await.json().await.expect("JSON");
    assert_eq!(
        state["accelerators"][0]["models"].as_array().map(Vec::len),
        Some(1)
    );
}
