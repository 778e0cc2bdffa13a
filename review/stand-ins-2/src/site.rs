//! A small deployment on loopback addresses: the store, workers and entry machines, each of these a process.

use crate::store::Store;
use crate::worker::held;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The ports of each entry machine; each has an address of its own.
const FRONT: u16 = 18_149;
const READY: u16 = 18_141;
const CONTROL: u16 = 18_144;
const PEER: u16 = 18_380;
const ADMIN: u16 = 9_464;
/// The zones.
pub const ZONES: [&str; 3] = ["dvorana-a", "dvorana-b", "dvorana-c"];
/// How often a worker writes to its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long an append takes in the store, beside 50 ns a byte (`append_ms`, `part_mb_per_s`).
const APPEND: Duration = Duration::from_millis(4);
/// The host of all routes.
pub const HOST: &str = "wuny96.example";

/// What was seen, in the order in which it was seen.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    rows: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            rows: Arc::default(),
        }
    }

    /// Adds a row, with the time.
    pub fn add(&self, row: impl AsRef<str>) {
        let row = format!(
            "{:9.3} {}",
            self.began.elapsed().as_secs_f64(),
            row.as_ref()
        );
        self.rows().push(row);
    }

    /// Returns the rows.
    pub fn rows(&self) -> MutexGuard<'_, Vec<String>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the rows to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut f = File::create(path)?;
        for row in self.rows().iter() {
            writeln!(f, "{row}")?;
        }
        Ok(())
    }
}

/// A worker's entry in the store.
#[derive(Clone)]
struct Entry {
    id: String,
    address: SocketAddr,
    service: String,
    zone: &'static str,
    models: String,
}

impl Entry {
    /// Writes the entry to the store until the run ends.
    fn beat(self, store: Store) {
        thread::spawn(move || {
            for beats in 1_u64.. {
                store.put("keyed.servers", &self.id, &self.value(beats));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn value(&self, beats: u64) -> String {
        let models = self.models.split(',').filter(|m| !m.is_empty());
        let models: Vec<String> = models.map(held).collect();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{beats},\"stage\":\"prefill_decode\",\"models\":[{}]}}",
            self.service,
            self.address,
            self.zone,
            models.join(",")
        )
    }
}

/// An entry machine's process.
pub struct Vm {
    pub name: String,
    pub ip: String,
    pub zone: &'static str,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    process: Option<Child>,
}

impl Vm {
    /// Returns where clients reach it.
    pub fn front(&self) -> String {
        format!("{}:{FRONT}", self.ip)
    }

    /// Returns where the platform asks whether it is ready.
    pub fn readiness(&self) -> String {
        format!("{}:{READY}", self.ip)
    }

    /// Starts its process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("LIMEHOLLOW_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Sends a signal to its process, by its id.
    pub fn signal(&self, name: &str) {
        if let Some(p) = &self.process {
            signal(p.id(), name);
        }
    }

    /// Kills its process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut p) = self.process.take() {
            let _ = p.kill();
            let _ = p.wait();
        }
    }
}

/// Sends a signal to a process that this run started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
}

/// The deployment.
pub struct Site {
    store: Store,
    store_address: SocketAddr,
    pub vms: Vec<Vm>,
    workers: Vec<Child>,
    pub record: Record,
    net: u8,
    folder: PathBuf,
    /// The bound on the time until a configuration is in force, and on that of a leaving worker, in ms.
    apply_ms: u32,
    /// Further lines of the machines' settings.
    further: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        for w in &mut self.workers {
            let _ = w.kill();
            let _ = w.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Prepares a deployment with this many entry machines, whose settings have these bounds and further lines; none runs yet.
    pub fn new(program: &Path, vms: usize, apply_ms: u32, further: &str) -> io::Result<Self> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let folder = std::env::temp_dir().join(format!(
            "review-2-{}-{}",
            std::process::id(),
            now.subsec_nanos()
        ));
        fs::create_dir_all(&folder)?;
        let net = free_net(vms)?;
        let (store, store_address) = Store::start(&format!("127.{net}.9.1"))?;
        let mut site = Self {
            store,
            store_address,
            vms: Vec::new(),
            workers: Vec::new(),
            record: Record::new(),
            net,
            folder,
            apply_ms,
            further: further.to_owned(),
        };
        for n in 0..vms {
            let zone = ZONES[n % ZONES.len()];
            let name = format!("front-{zone}-{}", n / ZONES.len() + 1);
            let settings = site.folder.join(format!("{name}.toml"));
            let vm = Vm {
                ip: site.ip(n),
                zone,
                log: site.folder.join(format!("{name}.log")),
                settings,
                program: program.to_owned(),
                process: None,
                name,
            };
            fs::write(&vm.settings, site.settings(&vm, vms))?;
            site.vms.push(vm);
        }
        Ok(site)
    }

    fn ip(&self, n: usize) -> String {
        format!(
            "127.{}.{}.{}",
            self.net,
            n % ZONES.len() + 1,
            n / ZONES.len() + 1
        )
    }

    /// The settings as `deploy/vm.toml.tmpl` shapes them, with the bounds of a small deployment.
    fn settings(&self, vm: &Vm, vms: usize) -> String {
        let seeds: Vec<String> = (0..vms.min(3))
            .map(|n| format!("\"{}:{CONTROL}\"", self.ip(n)))
            .collect();
        let regions: Vec<String> = ZONES
            .iter()
            .map(|z| format!("\"{z}\" = \"osrednja\""))
            .collect();
        format!(
            "name = \"{name}\"\navailability_zone = \"{zone}\"\nip = \"{ip}\"\naddress = \"{ip}:{FRONT}\"\n\
             readiness_address = \"{ip}:{READY}\"\npeer_port = {PEER}\nadmin_port = {ADMIN}\nseeds = [{seeds}]\n\
             cores = 0.25\nfirst_start = true\ndescriptors = 4100\nmemory_mb = 260\nlink_mbps = 1000.0\n\
             store_address = \"{store}\"\ngrace_ms = 8000\nlease_ms = 3000\nleaving_ms = {apply}\n\
             configuration_ms = {apply}\nrepeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_ms = 10000\n\
             load_window_ms = 5000\nload_over = 1.1\n{further}[regions]\n{regions}\n",
            name = vm.name,
            zone = vm.zone,
            ip = vm.ip,
            seeds = seeds.join(", "),
            store = self.store_address,
            apply = self.apply_ms,
            further = self.further,
            regions = regions.join("\n"),
        )
    }

    /// Starts a worker that holds these models, and lists it.
    pub fn start_worker(&mut self, service: &str, zone: usize, models: &str) -> io::Result<()> {
        let n = self.workers.len() + 1;
        let entry = Entry {
            id: format!("i-{:08x}", 0x3f00_0000 + n),
            address: free_address(&format!("127.{}.8.{n}", self.net))?,
            service: service.to_owned(),
            zone: ZONES[zone % ZONES.len()],
            models: models.to_owned(),
        };
        let mut process = Command::new(std::env::current_exe()?)
            .args(["worker", &entry.id, &entry.address.to_string(), models])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(out) = process.stdout.take() {
            let (record, id) = (self.record.clone(), entry.id.clone());
            thread::spawn(move || {
                for row in BufReader::new(out).lines().map_while(Result::ok) {
                    record.add(format!("worker {id} {row}"));
                }
            });
        }
        self.workers.push(process);
        entry.beat(self.store.clone());
        Ok(())
    }

    /// Writes a configuration with a plain service, a service with models, a route for each kind, this many routes on which
    /// nobody asks, and these tenants.
    pub fn configure(&self, version: u64, models: &[(&str, u32)], idle_routes: u32, tenants: &str) {
        let models: Vec<String> = models
            .iter()
            .map(|(n, mb)| {
                format!("{{\"name\":\"{n}\",\"weights_mb\":{mb},\"load_time_s\":6.6,\"adapters\":0,\"adapter_mb\":66}}")
            })
            .collect();
        let route = |name: &str, kind: &str, service: &str, limits: (u32, u32), more: &str| {
            let (timeout, target) = limits;
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":0,\"service\":\"{service}\",\
                 \"no_auth\":false,{more}}}"
            )
        };
        let stream =
            "\"max_attempts\":1,\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":300";
        let once = "\"max_attempts\":1,\"session_affinity\":false,\"resumable\":false";
        let plain = "\"max_attempts\":2,\"session_affinity\":false,\"resumable\":false";
        let quote = |name: &str| route(name, "idempotent", "cenik", (1_000, 150), plain);
        let mut routes = vec![
            route("commentary", "stream", "pisar", (15_000, 1_000), stream),
            route("price", "non_idempotent", "cenik", (1_000, 150), once),
            quote("quote"),
        ];
        routes.extend((2..=version).map(|n| quote(&format!("step-{n}"))));
        routes.extend((0..idle_routes).map(|n| quote(&format!("idle{n:04}"))));
        let config = format!(
            "{{\"version\":{version},{tenants}\"routes\":[{}],\"services\":[\
             {{\"name\":\"pisar\",\"health_path\":\"/health\",\"max_connections\":300,\"engine\":{{\"slots\":48,\
             \"kv_capacity_tokens\":118694,\"weights_mb\":200000,\"adapter_slots\":8,\"loads_per_s\":2.1,\"models\":[{}]}}}},\
             {{\"name\":\"cenik\",\"health_path\":\"/health\",\"max_connections\":110}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}}}",
            routes.join(","),
            models.join(",")
        );
        thread::sleep(APPEND + Duration::from_nanos(50 * config.len() as u64));
        self.store.put("keyed.op", "config", &config);
        self.record.add(format!(
            "configuration {version} acknowledged, {} bytes",
            config.len()
        ));
    }

    /// Starts all machines, and waits until each says that it is ready.
    pub fn start_vms(&mut self) -> io::Result<()> {
        for vm in &mut self.vms {
            vm.start()?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        for vm in &self.vms {
            while !crate::client::is_ready(&vm.readiness()) {
                if Instant::now() >= until {
                    return Err(io::Error::other(format!("{} isn't ready", vm.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.add("all machines are ready");
        Ok(())
    }

    /// Copies the machines' logs to a folder, for a look after a run.
    pub fn keep_logs(&self, to: &Path) {
        let _ = fs::create_dir_all(to);
        for vm in &self.vms {
            let _ = fs::copy(&vm.log, to.join(format!("{}.log", vm.name)));
        }
    }
}

/// Finds a network of loopback addresses on which nobody listens at the ports.
fn free_net(vms: usize) -> io::Result<u8> {
    let first = (std::process::id() % 180) as u8 + 40;
    for n in 0..180_u16 {
        let net = ((u16::from(first) - 40 + n) % 180 + 40) as u8;
        let is_free = (0..vms).all(|vm| {
            let ip = format!(
                "127.{net}.{}.{}",
                vm % ZONES.len() + 1,
                vm / ZONES.len() + 1
            );
            let tcp = [FRONT, READY, CONTROL, PEER, ADMIN];
            let tcp = tcp
                .iter()
                .all(|p| TcpListener::bind((ip.as_str(), *p)).is_ok());
            tcp && UdpSocket::bind((ip.as_str(), PEER)).is_ok()
        });
        if is_free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

fn free_address(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}
