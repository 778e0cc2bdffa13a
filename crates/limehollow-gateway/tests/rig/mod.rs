//! Runs gateways as processes on real sockets, against stand-ins that run in the test's process.
//!
//! The test writes the log itself, so no controller is needed. Timeouts are long and only bound how
//! long a failing test takes: no result depends on the speed of the machine.

#![allow(dead_code, reason = "each test file uses a part of it")]

use limehollow::id::Offset;
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::plan::{AcceleratorRef, ModelVersion, Plan};
use limehollow::record::{
    Answer, AnswerKind, EndpointKind, EndpointSeen, LeaseTaken, Record, Resident,
};
use limehollow_edge::log::{HttpLog, LogService};
use limehollow_wire::record::{STREAM, encode};
use serde_json::{Value, json};
use stand_ins::engine::{Engine, EngineSettings, Event};
use stand_ins::platform::{Platform, PlatformSettings};
pub use stand_ins::run::free_address;
use stand_ins::service::{Ran, Service, ServiceSettings};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub const LONG: Duration = Duration::from_secs(30);
const MODEL_BYTES: u64 = 10;

pub fn client() -> reqwest::Client {
    let b = reqwest::Client::builder()
        .no_proxy()
        .timeout(LONG)
        .pool_max_idle_per_host(0);
    b.build().expect("an HTTP client")
}

/// A gateway's process, which is killed on drop.
pub struct Gateway {
    child: Child,
    pub url: String,
    pub admin: String,
    settings: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _gone = std::fs::remove_file(&self.settings);
    }
}

impl Gateway {
    pub fn process_id(&self) -> i32 {
        i32::try_from(self.child.id()).expect("ids of processes are small")
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it was started here");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill is there").success());
    }

    /// Waits for the process to exit and returns `true` if it exited successfully.
    pub async fn exits_successfully(&mut self) -> bool {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("it was started here") {
                return status.success();
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }

    pub async fn is_ready(&self) -> bool {
        let res = client().get(format!("{}/readyz", self.admin)).send().await;
        res.is_ok_and(|r| r.status().is_success())
    }

    pub fn complete(&self, body: &Value) -> reqwest::RequestBuilder {
        client()
            .post(format!("{}/v1/completions", self.url))
            .json(body)
    }

    pub fn keyed_call(&self, key: &str, body: &str) -> reqwest::RequestBuilder {
        client()
            .post(format!("{}/services/portal/filings", self.url))
            .header("x-limehollow-repeat", "never")
            .header("idempotency-key", key)
            .body(body.to_owned())
    }
}

pub struct Rig {
    pub platform: String,
    /// A second address of the platform, which the fault `cut_zones` makes unreachable.
    pub far: String,
    pub engines: Vec<String>,
    pub service: Option<String>,
    log: HttpLog,
}

impl Rig {
    /// Starts a platform and engines in zone `a` with model `m` loaded, and confirms an intent for `m`.
    pub async fn new(engines: usize) -> Self {
        let (platform, far) = (free_address(), free_address());
        let settings = PlatformSettings {
            address: platform.clone(),
            zone_addresses: std::iter::once(("far".to_owned(), far.clone())).collect(),
            retention_ms: 600_000,
            members_lag_ms: 0,
            loads_per_second: 100.0,
            loads_at_once: 10,
            load_ms: 1,
            members: Vec::new(),
        };
        tokio::spawn(Platform::new(settings).serve());
        let log = HttpLog::new(&platform).expect("an HTTP client");
        let mut rig = Self {
            platform,
            far,
            engines: Vec::new(),
            service: None,
            log,
        };
        rig.wait_for(&format!("http://{}/healthz", rig.platform))
            .await;
        rig.confirm().await;
        for n in 0..engines {
            rig.add_engine(n).await;
        }
        rig
    }

    async fn confirm(&self) {
        let model = ModelIntent {
            name: "m".into(),
            version: "1".into(),
            bytes: MODEL_BYTES,
            base: None,
            service: "".into(),
            priority: Priority::Normal,
            replicas: 1,
        };
        let intent = Intent {
            operator: "ana".into(),
            models: vec![model],
            weights: Weights::default(),
            kv_headroom_percent: 0,
        };
        let lease = LeaseTaken {
            zone: "a".into(),
            holder: "test".into(),
            incarnation: 1,
            replaces: None,
        };
        assert_eq!(self.append(&Record::LeaseTaken(lease)).await, Offset(0));
        let intent = self.append(&Record::Intent(intent)).await;
        let plan = Plan {
            intent,
            made_at: intent,
            base: None,
            changed: Vec::new(),
            targets: Vec::new(),
            steps: Vec::new(),
        };
        let plan = self.append(&Record::Plan(plan)).await;
        let answer = Answer {
            plan,
            operator: "ana".into(),
            kind: AnswerKind::Confirm,
        };
        self.append(&Record::Answer(answer)).await;
    }

    pub async fn append(&self, r: &Record) -> Offset {
        Offset(
            self.log
                .append(STREAM, vec![encode(r)])
                .await
                .expect("the log is up"),
        )
    }

    async fn add_engine(&mut self, n: usize) {
        let address = free_address();
        let settings = EngineSettings {
            name: format!("engine-{n}"),
            address: address.clone(),
            platform: self.platform.clone(),
            accelerators: vec![100],
            checks_fencing: true,
            slots: 8,
            first_token_ms: 5,
            per_token_ms: 2,
            report_lag_ms: 0,
        };
        tokio::spawn(Engine::new(settings, 1).serve());
        self.wait_for(&format!("http://{address}/healthz")).await;
        let order = json!({ "number": 0, "accelerator": 0, "action": "load", "model": "m",
                            "version": "1", "bytes": MODEL_BYTES });
        self.post(&address, "/orders", &order).await;
        self.wait_until("the model is loaded", async || {
            let state = client()
                .get(format!("http://{address}/state"))
                .send()
                .await
                .ok()?;
            let text = state.text().await.ok()?;
            text.contains("\"ready\"").then_some(())
        })
        .await;
        let name = format!("engine-{n}");
        let resident = Resident {
            place: AcceleratorRef {
                endpoint: name.as_str().into(),
                accelerator: 0,
            },
            model: ModelVersion {
                name: "m".into(),
                version: "1".into(),
            },
            bytes: MODEL_BYTES,
        };
        let kind = EndpointKind::Engine {
            checks_fencing: true,
            accelerators: vec![100],
        };
        self.append(&endpoint_seen(&name, &address, kind, vec![resident]))
            .await;
        self.engines.push(address);
    }

    /// Starts a stand-in for a plain service.
    pub async fn add_service(&mut self) {
        let address = free_address();
        let settings = ServiceSettings {
            name: "portal".into(),
            address: address.clone(),
        };
        tokio::spawn(Service::new(settings, 1).serve());
        self.wait_for(&format!("http://{address}/state")).await;
        self.add_service_at("portal-1", &address).await;
        self.service = Some(address);
    }

    /// Appends a plain service at the given address to the log.
    pub async fn add_service_at(&self, name: &str, address: &str) {
        let kind = EndpointKind::Service {
            name: "portal".into(),
        };
        self.append(&endpoint_seen(name, address, kind, Vec::new()))
            .await;
    }

    /// Starts a gateway and waits until it is ready.
    pub async fn gateway(&self, name: &str, more: &str) -> Gateway {
        self.gateway_at(&self.platform, name, more).await
    }

    /// Starts a gateway that reaches the platform at one of its addresses.
    pub async fn gateway_at(&self, platform: &str, name: &str, more: &str) -> Gateway {
        let (address, admin, peer) = (free_address(), free_address(), free_address());
        let path =
            std::env::temp_dir().join(format!("limehollow-{}-{address}.toml", std::process::id()));
        let text = format!(
            "name = \"{name}\"\navailability_zone = \"a\"\naddress = \"{address}\"\n\
             admin_address = \"{admin}\"\npeer_address = \"{peer}\"\n\
             controller_address = \"{}\"\nplatform_address = \"{platform}\"\nstop_grace_ms = 300\n{more}",
            free_address()
        );
        std::fs::write(&path, text).expect("the temporary folder can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_limehollow-gateway"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("it was built");
        let (url, admin) = (format!("http://{address}"), format!("http://{admin}"));
        let g = Gateway {
            child,
            url,
            admin,
            settings: path,
        };
        self.wait_for(&format!("{}/readyz", g.admin)).await;
        g
    }

    pub async fn wait_for(&self, url: &str) {
        self.wait_until(url, async || {
            let res = client().get(url).send().await.ok()?;
            res.status().is_success().then_some(())
        })
        .await;
    }

    pub async fn wait_until<F, T>(&self, what: &str, mut f: F) -> T
    where
        F: AsyncFnMut() -> Option<T>,
    {
        let end = Instant::now() + LONG;
        loop {
            if let Some(t) = f().await {
                return t;
            }
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn post(&self, address: &str, path: &str, body: &Value) {
        let res = client()
            .post(format!("http://{address}{path}"))
            .json(body)
            .send()
            .await;
        assert!(
            res.expect("the stand-in answers").status().is_success(),
            "{path} {body}"
        );
    }

    pub async fn engine_faults(&self, n: usize, faults: &Value) {
        self.post(&self.engines[n], "/faults", faults).await;
    }

    pub async fn platform_faults(&self, faults: &Value) {
        self.post(&self.platform, "/faults", faults).await;
    }

    pub async fn service_faults(&self, faults: &Value) {
        let service = self.service.as_deref().expect("there is a service");
        self.post(service, "/faults", faults).await;
    }

    pub async fn engine_history(&self, n: usize) -> Vec<Event> {
        let res = client()
            .get(format!("http://{}/history", self.engines[n]))
            .send()
            .await;
        res.expect("the stand-in answers")
            .json()
            .await
            .expect("it is a history")
    }

    /// Returns how often a request ran, over all engines.
    pub async fn runs(&self, id: &str) -> usize {
        let mut n = 0;
        for i in 0..self.engines.len() {
            let h = self.engine_history(i).await;
            n += h.iter().filter(|e| e.kind == "run" && e.id == id).count();
        }
        n
    }

    /// Returns how often a call with an idempotency key ran at the service.
    pub async fn service_runs(&self, key: &str) -> usize {
        let service = self.service.as_deref().expect("there is a service");
        let res = client()
            .get(format!("http://{service}/history"))
            .send()
            .await;
        let ran: Vec<Ran> = res
            .expect("it answers")
            .json()
            .await
            .expect("it is a history");
        ran.iter().filter(|r| r.key == key).count()
    }
}

fn endpoint_seen(
    name: &str,
    address: &str,
    kind: EndpointKind,
    residents: Vec<Resident>,
) -> Record {
    Record::EndpointSeen(EndpointSeen {
        zone: "a".into(),
        epoch: Offset(0),
        endpoint: name.into(),
        incarnation: 1,
        address: address.into(),
        kind,
        residents,
    })
}

/// Returns a response header as text, or an empty string if it is missing.
pub fn header(res: &reqwest::Response, name: &str) -> String {
    res.headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

/// Returns the text of a streamed answer, and `true` if it ended with `[DONE]`.
pub fn streamed_text(stream: &str) -> (String, bool) {
    let mut text = String::new();
    let mut whole = false;
    for line in stream.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if line == "[DONE]" {
            whole = true;
            continue;
        }
        let v: Value = serde_json::from_str(line).expect("an event is JSON");
        text.push_str(v["choices"][0]["text"].as_str().unwrap_or(""));
    }
    (text, whole)
}

/// Returns the text that the stand-in engine generates for a prompt.
pub fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|i| stand_ins::engine::word(prompt, i))
        .collect()
}
