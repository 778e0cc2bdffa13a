//! A worker that is taken away at short notice while it writes answers without a length.

use crate::Found;
use crate::client::{self, Ended};
use crate::http::End;
use crate::site::Site;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const MODEL: &str = "daka510000";
const WORKERS: usize = 8;
const VMS: usize = 8;
/// The notice of a worker that is taken away.
const NOTICE: Duration = Duration::from_millis(2_000);
/// The events of a stream.
const EVENTS: u32 = 150;
const CLIENTS: usize = 32;

struct Seen {
    id: String,
    status: u16,
    end: End,
    last: u32,
}

pub fn play(program: &Path, record: &Path, has_trouble: bool) -> io::Result<Found> {
    let mut site = Site::new(program, VMS)?;
    site.configure(1, &[(MODEL, 65_100)]);
    for n in 0..WORKERS {
        site.start_worker("pisar", n, MODEL, "unframed")?;
    }
    for n in 0..3 {
        site.start_worker("cenik", n, "", "framed")?;
    }
    thread::sleep(Duration::from_millis(300));
    site.start_vms()?;
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let fronts: Vec<String> = site.vms.iter().map(|v| v.front()).collect();
    let until = Instant::now() + Duration::from_secs(8);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (seen, fronts, record) = (Arc::clone(&seen), fronts.clone(), site.record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * c as u64));
                let mut n = 0;
                while Instant::now() < until {
                    n += 1;
                    let id = format!("{c:04x}{n:012x}");
                    let usage = format!("300,{}", EVENTS * crate::worker::TOKENS_AN_EVENT);
                    let prompt = format!("5c1e07a2:200,{id}:100");
                    let headers = [
                        ("Request-Id", id.as_str()),
                        ("Model", MODEL),
                        ("Token-Usage", &usage),
                        ("Prompt-Prefix", &prompt),
                        ("Deadline-Ms", "15000"),
                    ];
                    record.add(format!("client sends {id} to {}", fronts[c % fronts.len()]));
                    let front = &fronts[c % fronts.len()];
                    match client::ask(front, "POST", "/commentary/x", &headers, id.as_bytes()) {
                        Ok(Ended { answer, end }) => {
                            let text = String::from_utf8_lossy(&answer.body).into_owned();
                            let last = text.rmatch_indices("id: ").next().and_then(|(at, _)| {
                                text[at + 4..].lines().next()?.parse::<u32>().ok()
                            });
                            let (status, last) = (answer.status(), last.unwrap_or(0));
                            record.add(format!("client got {id}: {status}, event {last}/{EVENTS}, {end:?}"));
                            let row = Seen { id, status, end, last };
                            seen.lock().unwrap_or_else(PoisonError::into_inner).push(row);
                        }
                        Err(e) => record.add(format!("client got {id}: no answer ({e})")),
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3_500));
    if has_trouble {
        let id = site.busiest_worker().unwrap_or_default();
        site.drain(&id, Some(NOTICE.as_millis() as u64));
        thread::sleep(NOTICE);
        site.end_worker(&id, true);
    }
    for c in clients {
        let _ = c.join();
    }
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let ok = seen.iter().filter(|s| s.status == 200).count();
    let broken_off = seen.iter().filter(|s| s.status == 200 && s.end == End::Broken).count();
    let short: Vec<&Seen> = seen
        .iter()
        .filter(|s| s.status == 200 && s.end == End::Complete && s.last < EVENTS)
        .collect();
    for s in &short {
        site.record.add(format!("BROKEN: {} ended as complete after event {} of {EVENTS}", s.id, s.last));
    }
    site.record.add(format!(
        "{} answers, {ok} with 200: {broken_off} broken off visibly, {} ended as complete ahead of their last event",
        seen.len(),
        short.len()
    ));
    if let Some(to) = std::env::var_os("KEEP_LOGS") {
        site.keep_logs(Path::new(&to));
    }
    site.record.write(record)?;
    if ok == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(if short.is_empty() { Found::Held } else { Found::Broken })
}
