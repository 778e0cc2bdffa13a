//! Controller processes against a stand-in platform and stand-in engines: a killed holder of the lease, a
//! suspended holder, an outage of the log.
//!
//! The checks are on the engines' histories and on the log. Timeouts are long, as they only bound the time
//! after which a failing test ends.

use limehollow::fleet::Fleet;
use limehollow::id::Offset;
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::record::{Answer, AnswerKind, Record};
use limehollow::replay::Replay;
use limehollow_edge::follow::read;
use limehollow_edge::log::{HttpLog, LogService};
use limehollow_wire::platform::Member;
use limehollow_wire::record::{STREAM, encode};
use serde_json::{Value, json};
use stand_ins::engine::{Engine, EngineSettings, Event};
use stand_ins::platform::{Platform, PlatformSettings};
use stand_ins::run::free_address;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const WAIT_LIMIT: Duration = Duration::from_secs(60);
const CAPACITY: u64 = 100;

struct Controller {
    child: Child,
    name: String,
    admin: String,
    peer: String,
    settings: PathBuf,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = std::fs::remove_file(&self.settings);
    }
}

impl Controller {
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("the kill command runs").success());
    }

    async fn dump(&self) -> Option<Value> {
        let url = format!("http://{}/dump", self.admin);
        client().get(url).send().await.ok()?.json().await.ok()
    }
}

fn client() -> reqwest::Client {
    let b = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(5));
    b.build().expect("an HTTP client")
}

/// A zone with two controllers and two engines, one of which checks fencing numbers.
struct TestZone {
    platform: String,
    engines: Vec<String>,
    controllers: Vec<Controller>,
    log: HttpLog,
    replay: Replay,
}

impl TestZone {
    async fn new() -> Self {
        let platform = free_address();
        let engines = vec![free_address(), free_address()];
        let peers = [free_address(), free_address()];
        let mut members = Vec::new();
        for (n, address) in engines.iter().enumerate() {
            members.push(member(&format!("engine-{n}"), address, "engine", n == 0));
        }
        for (n, address) in peers.iter().enumerate() {
            members.push(member(&format!("vm-{n}"), address, "entry", false));
        }
        let settings = PlatformSettings {
            address: platform.clone(),
            zone_addresses: std::iter::empty().collect(),
            retention_ms: 600_000,
            members_lag_ms: 100,
            loads_per_second: 20.0,
            loads_at_once: 10,
            load_ms: 50,
            members,
        };
        tokio::spawn(Platform::new(settings).serve());
        for (n, address) in engines.iter().enumerate() {
            let settings = EngineSettings {
                name: format!("engine-{n}"),
                address: address.clone(),
                platform: platform.clone(),
                accelerators: vec![CAPACITY],
                checks_fencing: n == 0,
                slots: 8,
                first_token_ms: 5,
                per_token_ms: 2,
                report_lag_ms: 50,
            };
            tokio::spawn(Engine::new(settings, 1).serve());
        }
        let log = HttpLog::new(&platform).expect("an HTTP client");
        let end = Instant::now() + WAIT_LIMIT;
        while log.read(STREAM, 0, 1, Duration::ZERO).await.is_err() {
            assert!(Instant::now() < end, "the platform doesn't answer");
            sleep(Duration::from_millis(10)).await;
        }
        let controllers = Vec::new();
        let mut zone = Self {
            platform,
            engines,
            controllers,
            log,
            replay: Replay::default(),
        };
        for (n, peer) in peers.iter().enumerate() {
            let c = zone.controller(&format!("vm-{n}"), peer, &[]);
            zone.controllers.push(c);
        }
        zone
    }

    fn controller(&self, name: &str, peer: &str, seeds: &[&str]) -> Controller {
        let admin = free_address();
        let path =
            std::env::temp_dir().join(format!("limehollow-{}-{admin}.toml", std::process::id()));
        let text = format!(
            "name = \"{name}\"\navailability_zone = \"a\"\npeer_address = \"{peer}\"\n\
             admin_address = \"{admin}\"\nplatform_address = \"{}\"\nseed_peers = {seeds:?}\n\
             log_retention_ms = 600000\n[rules]\nreport_lag_ms = 150\nlook_every_ms = 100\n",
            self.platform
        );
        std::fs::write(&path, text).expect("the temporary folder can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_limehollow-controller"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the controller starts");
        let (name, peer) = (name.to_owned(), peer.to_owned());
        Controller {
            child,
            name,
            admin,
            peer,
            settings: path,
        }
    }

    /// Reads the log until `f` returns a value for the fleet.
    async fn wait_until<F, T>(&mut self, what: &str, mut f: F) -> T
    where
        F: FnMut(&Fleet) -> Option<T>,
    {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let from = self.replay.next_to_read();
            if let Ok(batch) = read(&self.log, from, Duration::from_millis(50)).await {
                for e in batch.entries {
                    self.replay.push_entry(e);
                }
            }
            if let Some(t) = f(self.replay.fleet()) {
                return t;
            }
            assert!(Instant::now() < end, "timed out waiting for {what}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn append(&self, r: &Record) -> Offset {
        Offset(
            self.log
                .append(STREAM, vec![encode(r)])
                .await
                .expect("the log is up"),
        )
    }

    /// Publishes an intent and confirms its plan.
    async fn publish_and_confirm(&mut self, models: &[(&str, &str, u64)]) {
        let models = models.iter().map(|(name, version, bytes)| ModelIntent {
            name: (*name).into(),
            version: (*version).into(),
            bytes: *bytes,
            base: None,
            service: "".into(),
            priority: Priority::Normal,
            replicas: 2,
        });
        let intent = Intent {
            operator: "ana".into(),
            models: models.collect(),
            weights: Weights::default(),
            kv_headroom_percent: 0,
        };
        let intent = self.append(&Record::Intent(intent)).await;
        let plan = self
            .wait_until("a plan", |f| {
                assert!(f.plan_refusal().is_none(), "{:?}", f.plan_refusal());
                f.proposed_plan()
                    .filter(|p| p.plan.intent == intent)
                    .map(|p| p.offset)
            })
            .await;
        let answer = Answer {
            plan,
            operator: "ana".into(),
            kind: AnswerKind::Confirm,
        };
        self.append(&Record::Answer(answer)).await;
    }

    async fn wait_for_order(&mut self) {
        let after = self.replay.next_to_read();
        self.wait_until("an order", |f| {
            f.orders().any(|(o, _)| o >= after).then_some(())
        })
        .await;
    }

    async fn wait_for_plan_completion(&mut self) {
        self.wait_until("the end of the plan", |f| {
            let open = f.orders().any(|(_, o)| o.settled.is_none());
            let steps = f.plan_in_force().map_or(0, |p| p.plan.steps.len());
            let complete = f.missing_targets().next().is_none();
            (!open && complete && steps > 0 && f.moves_done() > 0).then_some(())
        })
        .await;
        for address in &self.engines {
            let url = format!("http://{address}/history");
            let h: Vec<Event> = client()
                .get(url)
                .send()
                .await
                .expect("the request is answered")
                .json()
                .await
                .expect("a history");
            assert!(
                h.iter()
                    .all(|e| e.kind != "overcommit" && e.used <= CAPACITY),
                "{h:?}"
            );
        }
    }

    fn holder_index(&self) -> usize {
        let lease = self
            .replay
            .fleet()
            .lease(&"a".into())
            .expect("the zone's lease has a holder");
        let held = self
            .controllers
            .iter()
            .position(|c| c.name == lease.holder.as_str());
        held.expect("the holder is one of the controllers")
    }

    async fn inject_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.platform);
        let res = client()
            .post(url)
            .json(faults)
            .send()
            .await
            .expect("the request is answered");
        assert!(res.status().is_success());
    }
}

fn member(vm: &str, address: &str, kind: &str, checks_fencing: bool) -> Member {
    Member {
        vm: vm.into(),
        zone: "a".into(),
        address: address.into(),
        kind: kind.into(),
        leaving: false,
        checks_fencing,
        service: None,
    }
}

const FIRST: [(&str, &str, u64); 3] = [("m", "1", 30), ("n", "1", 20), ("o", "1", 10)];
const SECOND: [(&str, &str, u64); 3] = [("m", "2", 30), ("n", "1", 20), ("p", "1", 10)];

#[tokio::test]
async fn plan_in_force_everywhere() {
    let mut zone = TestZone::new().await;
    zone.publish_and_confirm(&FIRST).await;
    zone.wait_for_plan_completion().await;
    let in_force = zone
        .replay
        .fleet()
        .in_force_offset()
        .expect("a plan is in force")
        .0;
    for c in &zone.controllers {
        let end = Instant::now() + WAIT_LIMIT;
        let mut last = 0;
        loop {
            let now = c
                .dump()
                .await
                .and_then(|d| d["offset_in_force"].as_u64())
                .unwrap_or(last);
            assert!(
                now >= last,
                "{}: offset went back from {last} to {now}",
                c.name
            );
            last = now;
            if last >= in_force {
                break;
            }
            assert!(
                Instant::now() < end,
                "{} did not reach offset {in_force}",
                c.name
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn holder_killed() {
    let mut zone = TestZone::new().await;
    zone.publish_and_confirm(&FIRST).await;
    zone.wait_for_order().await;
    let i = zone.holder_index();
    zone.controllers[i]
        .child
        .kill()
        .expect("the controller runs");
    zone.wait_for_plan_completion().await;
    assert_ne!(
        zone.holder_index(),
        i,
        "the other controller takes the lease"
    );
}

#[tokio::test]
async fn holder_frozen_and_woken() {
    let mut zone = TestZone::new().await;
    zone.publish_and_confirm(&FIRST).await;
    zone.wait_for_plan_completion().await;
    zone.publish_and_confirm(&SECOND).await;
    zone.wait_for_order().await;
    let i = zone.holder_index();
    zone.controllers[i].signal("STOP");
    let name = zone.controllers[i].name.clone();
    zone.wait_until("a takeover", |f| {
        f.lease(&"a".into())
            .is_some_and(|l| l.holder.as_str() != name)
            .then_some(())
    })
    .await;
    zone.controllers[i].signal("CONT");
    zone.wait_for_plan_completion().await;
    let served = zone.replay.fleet().ready_replicas("m").count();
    assert!(served > 0);
}

#[tokio::test]
async fn log_outage_while_orders_run() {
    let mut zone = TestZone::new().await;
    zone.publish_and_confirm(&FIRST).await;
    zone.wait_for_order().await;
    zone.inject_faults(&json!({ "log_down": true, "members_down": true }))
        .await;
    sleep(Duration::from_secs(1)).await;
    zone.inject_faults(&json!({ "lose_append_answers": 2, "drop_appends": 1 }))
        .await;
    zone.wait_for_plan_completion().await;
}

#[tokio::test]
async fn born_while_log_is_down() {
    let mut zone = TestZone::new().await;
    zone.publish_and_confirm(&FIRST).await;
    zone.wait_for_plan_completion().await;
    let in_force = zone
        .replay
        .fleet()
        .in_force_offset()
        .expect("a plan is in force")
        .0;
    zone.inject_faults(&json!({ "log_down": true, "members_down": true }))
        .await;
    let seed = zone.controllers[0].peer.clone();
    let c = zone.controller("vm-9", &free_address(), &[&seed]);
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let offset = c.dump().await.and_then(|d| d["offset_in_force"].as_u64());
        if offset.is_some_and(|o| o + 1 >= in_force) {
            break;
        }
        assert!(
            Instant::now() < end,
            "the controller is at offset {offset:?}, not at {in_force}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    // Readiness is updated at the controller's next tick.
    loop {
        let res = client()
            .get(format!("http://{}/readyz", c.admin))
            .send()
            .await;
        if res.is_ok_and(|r| r.status().is_success()) {
            break;
        }
        assert!(
            Instant::now() < end,
            "the controller has the state and isn't ready"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn sigterm_stops_controller() {
    let mut zone = TestZone::new().await;
    zone.wait_until("a lease", |f| f.lease(&"a".into()).map(|_| ()))
        .await;
    let mut c = zone.controllers.remove(0);
    c.signal("TERM");
    let end = Instant::now() + WAIT_LIMIT;
    let status = loop {
        if let Some(s) = c
            .child
            .try_wait()
            .expect("the controller is a child of the test")
        {
            break s;
        }
        assert!(Instant::now() < end, "the controller doesn't exit");
        sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success());
}
