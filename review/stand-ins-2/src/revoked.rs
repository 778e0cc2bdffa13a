//! A key is taken away while a machine stands still, and configurations come in quick succession before it.

use crate::Found;
use crate::client::Kept;
use crate::site::Site;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const MODEL: &str = "daka510000";
const VMS: usize = 8;
/// The routes that nobody uses: those that a deployment has from the start, and one growth by 350.
const IDLE_ROUTES: u32 = 40 + 350;
/// The changes in quick succession, and the time between two.
const CHANGES: u64 = 25;
const CHANGE_EVERY: Duration = Duration::from_millis(80);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(8_000);
/// `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
const REMOVED: &str = "asnmgkcuyj8pjbvk9m68";
const KEPT: &str = "b7qwe3rtzu5iopasdf21";

/// The further bounds of a deployment with tenants.
const SETTINGS: &str =
    "key_removal_ms = 5000\nquota_window_ms = 8000\nquota_over = 0.1\nquota_slack = 11000\n";

struct Sent {
    id: String,
    at: Instant,
    key: &'static str,
    status: u16,
}

fn tenants(has_removed: bool) -> String {
    let first = if has_removed {
        format!("\"{REMOVED}\"")
    } else {
        String::new()
    };
    format!(
        "\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{first}]}},{{\"name\":\"meko144\",\"api_keys\":[\"{KEPT}\"]}}],"
    )
}

pub fn play(program: &Path, record: &Path, has_trouble: bool) -> io::Result<Found> {
    let mut site = Site::new(program, VMS, 3_000, SETTINGS)?;
    let models = [(MODEL, 65_100)];
    site.configure(1, &models, IDLE_ROUTES, &tenants(true));
    for n in 0..3 {
        site.start_worker("pisar", n, MODEL)?;
        site.start_worker("cenik", n, "")?;
    }
    thread::sleep(Duration::from_millis(300));
    site.start_vms()?;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    // The last machine stands still; two clients keep a connection to it, and two to another one.
    let frozen = VMS - 1;
    for (c, (vm, key)) in [(frozen, REMOVED), (frozen, KEPT), (0, REMOVED), (0, KEPT)]
        .into_iter()
        .enumerate()
    {
        let (sent, is_over, record) =
            (Arc::clone(&sent), Arc::clone(&is_over), site.record.clone());
        let (front, name) = (site.vms[vm].front(), site.vms[vm].name.clone());
        clients.push(thread::spawn(move || {
            let Ok(mut kept) = Kept::open(&front) else {
                return;
            };
            let authorization = format!("Token {key}");
            for n in 0_u32.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{c:04x}{n:012x}");
                let at = Instant::now();
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Deadline-Ms", "1000"),
                    ("Authorization", &authorization),
                ];
                record.add(format!("client sends {id} to {name} with key {key}"));
                let status = match kept.get("/quote/x", &headers) {
                    Ok(status) => status,
                    Err(_) => {
                        let Ok(again) = Kept::open(&front) else {
                            return;
                        };
                        kept = again;
                        0
                    }
                };
                record.add(format!("client got {id}: {status}"));
                sent.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(Sent {
                        id,
                        at,
                        key,
                        status,
                    });
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    if has_trouble {
        site.vms[frozen].signal("STOP");
        site.record
            .add(format!("{} stands still", site.vms[frozen].name));
    }
    thread::sleep(Duration::from_millis(100));
    let storm = Instant::now();
    for n in 0..CHANGES {
        site.configure(2 + n, &models, IDLE_ROUTES, &tenants(true));
        let next = CHANGE_EVERY * (n as u32 + 1);
        thread::sleep(next.saturating_sub(storm.elapsed()));
    }
    site.configure(2 + CHANGES, &models, IDLE_ROUTES, &tenants(false));
    let removed = Instant::now();
    site.record
        .add(format!("key {REMOVED} is taken away, acknowledged"));
    thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    if has_trouble {
        site.vms[frozen].signal("CONT");
        site.record
            .add(format!("{} goes on", site.vms[frozen].name));
    }
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    for c in clients {
        let _ = c.join();
    }
    thread::sleep(Duration::from_millis(200));
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let runs: Vec<String> = {
        let rows = site.record.rows();
        rows.iter()
            .filter_map(|r| Some(r.split_once(" run ")?.1.to_owned()))
            .collect()
    };
    let late: Vec<&Sent> = sent
        .iter()
        .filter(|s| s.key == REMOVED && s.at > removed + REVOKE && runs.contains(&s.id))
        .collect();
    for s in &late {
        let after = s.at.duration_since(removed).as_millis();
        site.record.add(format!("BROKEN: {} was sent {after} ms after the key was taken away, and ran; the client got {}", s.id, s.status));
    }
    let served = sent.iter().filter(|s| s.status == 200).count();
    site.record.add(format!(
        "{} requests, {served} answered with 200; {} with the key that was taken away ran although they were sent later than 5 s after it",
        sent.len(),
        late.len()
    ));
    if let Some(to) = std::env::var_os("KEEP_LOGS") {
        site.keep_logs(Path::new(&to));
    }
    site.record.write(record)?;
    if served == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(if late.is_empty() {
        Found::Held
    } else {
        Found::Broken
    })
}
