//! Controllers as real processes before stand-ins: kills, freezes, an outage of the log.
//!
//! Waits are long and only bound how long a failure takes to show; the checks are on what the engines
//! did and on the log.

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

const LONG: Duration = Duration::from_secs(60);
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
        assert!(status.expect("kill is there").success());
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

/// One zone with two engines, of which one checks fencing numbers, and two controllers.
struct Rig {
    platform: String,
    engines: Vec<String>,
    controllers: Vec<Controller>,
    log: HttpLog,
    replay: Replay,
}

impl Rig {
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
        let end = Instant::now() + LONG;
        while log.read(STREAM, 0, 1, Duration::ZERO).await.is_err() {
            assert!(Instant::now() < end, "the platform does not answer");
            sleep(Duration::from_millis(10)).await;
        }
        let controllers = Vec::new();
        let mut rig = Self {
            platform,
            engines,
            controllers,
            log,
            replay: Replay::default(),
        };
        for (n, peer) in peers.iter().enumerate() {
            let c = rig.controller(&format!("vm-{n}"), peer, &[]);
            rig.controllers.push(c);
        }
        rig
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
            .expect("it was built");
        let (name, peer) = (name.to_owned(), peer.to_owned());
        Controller {
            child,
            name,
            admin,
            peer,
            settings: path,
        }
    }

    /// Reads the log on until a question has an answer.
    async fn until<F, T>(&mut self, what: &str, mut f: F) -> T
    where
        F: FnMut(&Fleet) -> Option<T>,
    {
        let end = Instant::now() + LONG;
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
            assert!(Instant::now() < end, "{what} did not come");
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
    async fn confirm(&mut self, models: &[(&str, &str, u64)]) {
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
            .until("a plan", |f| {
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

    async fn first_order(&mut self) {
        let after = self.replay.next_to_read();
        self.until("an order", |f| {
            f.orders().any(|(o, _)| o >= after).then_some(())
        })
        .await;
    }

    async fn carried_out(&mut self) {
        self.until("the end of the plan", |f| {
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
                .expect("it answers")
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

    fn holder(&self) -> usize {
        let lease = self
            .replay
            .fleet()
            .lease(&"a".into())
            .expect("somebody holds it");
        let held = self
            .controllers
            .iter()
            .position(|c| c.name == lease.holder.as_str());
        held.expect("it is one of ours")
    }

    async fn faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.platform);
        let res = client()
            .post(url)
            .json(faults)
            .send()
            .await
            .expect("it answers");
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
    let mut rig = Rig::new().await;
    rig.confirm(&FIRST).await;
    rig.carried_out().await;
    let in_force = rig
        .replay
        .fleet()
        .in_force_offset()
        .expect("something is")
        .0;
    for c in &rig.controllers {
        let end = Instant::now() + LONG;
        let mut last = 0;
        loop {
            let now = c
                .dump()
                .await
                .and_then(|d| d["offset_in_force"].as_u64())
                .unwrap_or(last);
            assert!(now >= last, "{} went from {last} back to {now}", c.name);
            last = now;
            if last >= in_force {
                break;
            }
            assert!(Instant::now() < end, "{} did not get to {in_force}", c.name);
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn holder_killed() {
    let mut rig = Rig::new().await;
    rig.confirm(&FIRST).await;
    rig.first_order().await;
    let i = rig.holder();
    rig.controllers[i].child.kill().expect("it runs");
    rig.carried_out().await;
    assert_ne!(rig.holder(), i, "the other one took over");
}

#[tokio::test]
async fn holder_frozen_and_woken() {
    let mut rig = Rig::new().await;
    rig.confirm(&FIRST).await;
    rig.carried_out().await;
    rig.confirm(&SECOND).await;
    rig.first_order().await;
    let i = rig.holder();
    rig.controllers[i].signal("STOP");
    let name = rig.controllers[i].name.clone();
    rig.until("a takeover", |f| {
        f.lease(&"a".into())
            .is_some_and(|l| l.holder.as_str() != name)
            .then_some(())
    })
    .await;
    rig.controllers[i].signal("CONT");
    rig.carried_out().await;
    let served = rig.replay.fleet().ready_replicas("m").count();
    assert!(served > 0);
}

#[tokio::test]
async fn log_down_in_the_middle() {
    let mut rig = Rig::new().await;
    rig.confirm(&FIRST).await;
    rig.first_order().await;
    rig.faults(&json!({ "log_down": true, "members_down": true }))
        .await;
    sleep(Duration::from_secs(1)).await;
    rig.faults(&json!({ "lose_append_answers": 2, "drop_appends": 1 }))
        .await;
    rig.carried_out().await;
}

#[tokio::test]
async fn born_while_log_is_down() {
    let mut rig = Rig::new().await;
    rig.confirm(&FIRST).await;
    rig.carried_out().await;
    let in_force = rig
        .replay
        .fleet()
        .in_force_offset()
        .expect("something is")
        .0;
    rig.faults(&json!({ "log_down": true, "members_down": true }))
        .await;
    let seed = rig.controllers[0].peer.clone();
    let c = rig.controller("vm-9", &free_address(), &[&seed]);
    let end = Instant::now() + LONG;
    loop {
        let offset = c.dump().await.and_then(|d| d["offset_in_force"].as_u64());
        if offset.is_some_and(|o| o + 1 >= in_force) {
            break;
        }
        assert!(
            Instant::now() < end,
            "it knows only {offset:?} of {in_force}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    // It shows readiness at its next tick.
    loop {
        let res = client()
            .get(format!("http://{}/readyz", c.admin))
            .send()
            .await;
        if res.is_ok_and(|r| r.status().is_success()) {
            break;
        }
        assert!(Instant::now() < end, "it knows the state and isn't ready");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn stops_when_told() {
    let mut rig = Rig::new().await;
    rig.until("a lease", |f| f.lease(&"a".into()).map(|_| ()))
        .await;
    let mut c = rig.controllers.remove(0);
    c.signal("TERM");
    let end = Instant::now() + LONG;
    let status = loop {
        if let Some(s) = c.child.try_wait().expect("it was started here") {
            break s;
        }
        assert!(Instant::now() < end, "it does not end");
        sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success());
}
