//! Configurations come in quick succession; no machine is disturbed.

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
/// The routes that nobody uses: those that the site has from the start, and two growths by 350.
const IDLE_ROUTES: u32 = 110;
const GROWTH: u32 = 350;
/// Two storms, one right after the other: the changes of both, and the time between two.
const CHANGES: u64 = 2 * 25;
const CHANGE_EVERY: Duration = Duration::from_millis(80);
/// The time between two changes without a storm.
const CALM_CHANGE_EVERY: Duration = Duration::from_millis(1_000);
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);

struct Late {
    id: String,
    vm: String,
    version: u64,
    after: Duration,
}

pub fn play(program: &Path, record: &Path, has_trouble: bool) -> io::Result<Found> {
    let mut site = Site::new(program, VMS, 2_000, "")?;
    let models = [(MODEL, 65_100)];
    site.configure(1, &models, IDLE_ROUTES, "");
    for n in 0..3 {
        site.start_worker("pisar", n, MODEL)?;
        site.start_worker("cenik", n, "")?;
    }
    thread::sleep(Duration::from_millis(300));
    site.start_vms()?;
    let acked: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let late: Arc<Mutex<Vec<Late>>> = Arc::default();
    let asked = Arc::new(Mutex::new(0_u64));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for vm in 0..VMS {
        let (front, name) = (site.vms[vm].front(), site.vms[vm].name.clone());
        let (acked, late, is_over) = (Arc::clone(&acked), Arc::clone(&late), Arc::clone(&is_over));
        let (asked, record) = (Arc::clone(&asked), site.record.clone());
        clients.push(thread::spawn(move || {
            let Ok(mut kept) = Kept::open(&front) else { return };
            for n in 0_u32.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(50));
                let at = Instant::now();
                let due = {
                    let all = acked.lock().unwrap_or_else(PoisonError::into_inner);
                    all.iter().rev().find(|(_, t)| at.duration_since(*t) > APPLY).copied()
                };
                let Some((version, since)) = due else { continue };
                let id = format!("{vm:04x}{n:012x}");
                let path = format!("/step-{version}/x");
                let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "1000")];
                let status = match kept.get(&path, &headers) {
                    Ok(status) => status,
                    Err(_) => {
                        let Ok(again) = Kept::open(&front) else { return };
                        kept = again;
                        0
                    }
                };
                *asked.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                let after = at.duration_since(since);
                record.add(format!("{name}: {id} on the route of version {version}, {} ms after its acknowledgement: {status}", after.as_millis()));
                if status == 404 {
                    let row = Late { id, vm: name.clone(), version, after };
                    late.lock().unwrap_or_else(PoisonError::into_inner).push(row);
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let change = |version: u64, idle_routes: u32| {
        site.configure(version, &models, idle_routes, "");
        let now = Instant::now();
        acked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((version, now));
    };
    change(2, IDLE_ROUTES + GROWTH);
    thread::sleep(CALM_CHANGE_EVERY);
    change(3, IDLE_ROUTES + 2 * GROWTH);
    thread::sleep(CALM_CHANGE_EVERY);
    let (changes, every) = if has_trouble {
        (CHANGES, CHANGE_EVERY)
    } else {
        (8, CALM_CHANGE_EVERY)
    };
    let began = Instant::now();
    for n in 0..changes {
        change(4 + n, IDLE_ROUTES + 2 * GROWTH);
        let next = every * (n as u32 + 1);
        thread::sleep(next.saturating_sub(began.elapsed()));
    }
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    for c in clients {
        let _ = c.join();
    }
    // What the workers said last is to stand before the sum.
    thread::sleep(Duration::from_millis(300));
    let late = late.lock().unwrap_or_else(PoisonError::into_inner);
    for l in late.iter() {
        site.record.add(format!(
            "BROKEN: {} at {}: 404 for the route of version {}, {} ms after its acknowledgement",
            l.id,
            l.vm,
            l.version,
            l.after.as_millis()
        ));
    }
    let most = late.iter().map(|l| l.after.as_millis()).max().unwrap_or(0);
    site.record.add(format!("{} requests, {} answered as only an older version allows, {most} ms after the acknowledgement at most", asked.lock().unwrap_or_else(PoisonError::into_inner), late.len()));
    if let Some(to) = std::env::var_os("KEEP_LOGS") {
        site.keep_logs(Path::new(&to));
    }
    site.record.write(record)?;
    Ok(if late.is_empty() {
        Found::Held
    } else {
        Found::Broken
    })
}
