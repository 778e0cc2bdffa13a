//! A stand-in of the platform's metadata store, as PROTOCOL tells it: keyed topics, calls that wait, one group.

use crate::http::{self, Message, json_field};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The most kB of records in the answer to a read that names no bound itself.
const MAX_KB: usize = 1_024;

#[derive(Debug, Clone)]
struct Record {
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    owner: Option<String>,
}

#[derive(Debug, Default)]
struct Kept {
    topics: HashMap<String, Vec<Record>>,
    group: Group,
}

/// The store; clones are the same one.
#[derive(Debug, Clone, Default)]
pub struct Store {
    kept: Arc<(Mutex<Kept>, Condvar)>,
}

impl Store {
    /// Starts it on a free port of this address.
    pub fn start(ip: &str) -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || http::serve(stream, |req, to| store.handle(&req, to)));
            }
        });
        Ok((store, address))
    }

    /// Writes the newest record of a key; an empty value drops it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key.as_bytes().to_vec(), value.as_bytes().to_vec());
    }

    fn append(&self, topic: &str, key: Vec<u8>, value: Vec<u8>) {
        let mut kept = self.lock();
        let records = kept.topics.entry(topic.to_owned()).or_default();
        records.push(Record { key, value });
        drop(kept);
        self.kept.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let (status, body) = match path {
            "/log-append" => {
                let end = self.append_all(topic, &req.body);
                (
                    "200 OK",
                    format!("{{\"offset\":0,\"end\":{end}}}").into_bytes(),
                )
            }
            "/log-read" => self.read(topic, &query),
            "/log-newest" => ("200 OK", self.newest(topic).into_bytes()),
            "/log-join" => ("200 OK", self.join(&text).into_bytes()),
            "/log-leave" => {
                self.leave(&json_field(&text, "member").unwrap_or_default());
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", Vec::new()),
        };
        http::answer(to, status, &[("Content-Type", "application/json")], &body)?;
        Ok(true)
    }

    fn append_all(&self, topic: &str, mut body: &[u8]) -> usize {
        while body.len() > 4 {
            let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let one = &body[4..(4 + len).min(body.len())];
            let key_len = usize::from(one[0]);
            self.append(
                topic,
                one[1..=key_len].to_vec(),
                one[1 + key_len..].to_vec(),
            );
            body = &body[(4 + len).min(body.len())..];
        }
        self.lock().topics.get(topic).map_or(0, Vec::len)
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
        let number = |n: &str| {
            query
                .get(n)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut kept = self.lock();
        loop {
            let all = kept.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > all.len() {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let now = Instant::now();
            if all.len() > from || now >= until {
                let mut out = Vec::new();
                out.extend((all.len() as u64).to_be_bytes());
                out.extend(0_u64.to_be_bytes());
                let most = query
                    .get("max_kb")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(MAX_KB)
                    << 10;
                for r in &all[from..] {
                    let size = 5 + r.key.len() + r.value.len();
                    if out.len() > 16 && out.len() - 16 + size > most {
                        break;
                    }
                    out.extend(((1 + r.key.len() + r.value.len()) as u32).to_be_bytes());
                    out.push(r.key.len() as u8);
                    out.extend(&r.key);
                    out.extend(&r.value);
                }
                return ("200 OK", out);
            }
            let waited = self.kept.1.wait_timeout(kept, until - now);
            kept = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let kept = self.lock();
        let all = kept.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&[u8], (usize, &[u8])> = all
            .iter()
            .enumerate()
            .map(|(i, r)| (&r.key[..], (i, &r.value[..])))
            .collect();
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, v))| !v.is_empty())
            .map(|(k, (i, v))| {
                let key = String::from_utf8_lossy(k);
                format!(
                    "{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"offset\":{i}}}",
                    base64(v)
                )
            })
            .collect();
        let (items, end) = (items.join(","), all.len());
        format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}")
    }

    /// The only partition stays with its member until that leaves or is silent; each change raises the generation.
    fn join(&self, text: &str) -> String {
        let member = json_field(text, "member").unwrap_or_default();
        let ttl = json_field(text, "ttl_ms").and_then(|v| v.parse().ok());
        let ttl = Duration::from_millis(ttl.unwrap_or(1_000));
        let now = Instant::now();
        let mut kept = self.lock();
        let g = &mut kept.group;
        let before = g.members.len();
        g.members
            .retain(|_, (at, ttl)| now.duration_since(*at) < *ttl);
        let is_new = g.members.insert(member.clone(), (now, ttl)).is_none();
        let lost = before + usize::from(is_new) != g.members.len();
        g.generation += u64::from(is_new || lost);
        g.owner = g.owner.take().filter(|o| g.members.contains_key(o));
        let owner = g.owner.get_or_insert_with(|| member.clone());
        let parts = if *owner == member {
            "[\"order-lease\",0,0]"
        } else {
            ""
        };
        format!("{{\"generation\":{},\"parts\":[{parts}]}}", g.generation)
    }

    fn leave(&self, member: &str) {
        let g = &mut self.lock().group;
        if g.members.remove(member).is_some() {
            g.generation += 1;
        }
        g.owner = g.owner.take().filter(|o| o != member);
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            if i <= three.len() {
                out.push(char::from(SIGNS[(n >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
