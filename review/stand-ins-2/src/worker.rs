//! A stand-in of a model worker, as a process of its own. What it does it says on its standard output.

use crate::http::{self, Message, json_field};
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two events, and the tokens of an event, as on the sheet of a small deployment.
pub const EVENT_EVERY: Duration = Duration::from_millis(35);
pub const TOKENS_AN_EVENT: u32 = 3;
/// How long a plain request works, and how long a model loads.
const WORK: Duration = Duration::from_millis(30);
const LOAD: Duration = Duration::from_millis(600);

#[derive(Debug, Default)]
struct State {
    models: BTreeSet<String>,
    orders: u64,
    busy_until: Option<Instant>,
}

struct Worker {
    id: String,
    /// Whether its answers carry no length and end with their connection.
    unframed: bool,
    state: Mutex<State>,
}

/// Runs a worker: its id, its address, its models (with commas) and whether its answers carry no length.
pub fn run(args: &[String]) -> io::Result<()> {
    let listener = TcpListener::bind(&args[1])?;
    let models = args[2].split(',').filter(|m| !m.is_empty());
    let worker = Arc::new(Worker {
        id: args[0].clone(),
        unframed: args[3] == "unframed",
        state: Mutex::new(State {
            models: models.map(str::to_owned).collect(),
            ..State::default()
        }),
    });
    println!("listens");
    for stream in listener.incoming().flatten() {
        let w = Arc::clone(&worker);
        thread::spawn(move || http::serve(stream, |req, to| w.handle(&req, to)));
    }
    Ok(())
}

impl Worker {
    fn handle(&self, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
        let id = req.header("request-id").unwrap_or("");
        let mut headers = vec![("Instance-Id", self.id.as_str())];
        if !id.is_empty() {
            headers.push(("Request-Id", id));
        }
        if req.header("expect-instance").is_some_and(|e| e != self.id) {
            http::answer(to, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        match req.target() {
            "/health" => http::answer(to, "200 OK", &headers, b"")?,
            "/report" => http::answer(to, "200 OK", &headers, self.report().as_bytes())?,
            "/order" => {
                let status = self.order(&String::from_utf8_lossy(&req.body));
                http::answer(to, status, &headers, b"")?;
            }
            _ => return self.work(req, id, headers, to),
        }
        Ok(true)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> String {
        let s = self.lock();
        let busy = s.busy_until.is_some_and(|t| Instant::now() < t);
        let models: Vec<String> = s.models.iter().map(|m| held(m)).collect();
        format!(
            "{{\"stage\":\"prefill_decode\",\"models\":[{}],\"busy\":{busy},\"sequence\":{},\"queued_count\":0,\
             \"running_count\":0,\"kv_used\":0,\"kv_total\":118694,\"handles\":0}}",
            models.join(","),
            s.orders
        )
    }

    fn order(&self, text: &str) -> &'static str {
        let field = |n| json_field(text, n);
        let (Some(operation), Some(model)) = (field("operation"), field("model")) else {
            return "400 Bad Request";
        };
        println!("order {text}");
        let mut s = self.lock();
        let now = Instant::now();
        let expected = field("expected").and_then(|v| v.parse::<u64>().ok());
        let busy = s.busy_until.is_some_and(|t| now < t);
        if busy || expected.is_some_and(|e| e != s.orders) {
            return "409 Conflict";
        }
        let loads = operation == "load";
        if s.models.contains(&model) == loads {
            return "200 OK";
        }
        s.orders += 1;
        s.busy_until = Some(now + LOAD);
        if loads {
            s.models.insert(model);
        } else {
            s.models.remove(&model);
        }
        "202 Accepted"
    }

    fn work(
        &self,
        req: &Message,
        id: &str,
        mut headers: Vec<(&str, &str)>,
        to: &mut TcpStream,
    ) -> io::Result<bool> {
        let model = req.header("model").unwrap_or("");
        if !model.is_empty() && !self.lock().models.contains(model) {
            http::answer(to, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        println!("run {id}");
        headers.push(("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        if model.is_empty() {
            thread::sleep(WORK);
            let body = vec![b'x'; 800];
            if !self.unframed {
                http::answer(to, "200 OK", &headers, &body)?;
                println!("whole {id}");
                return Ok(true);
            }
            to.write_all(head(&headers, "text/plain", "Connection: close").as_bytes())?;
            to.write_all(&body)?;
            println!("whole {id}");
            return Ok(false);
        }
        let out = req.header("token-usage").and_then(|v| v.split_once(','));
        let tokens = out
            .and_then(|(_, n)| n.trim().parse::<u32>().ok())
            .unwrap_or(90);
        let events = tokens.div_ceil(TOKENS_AN_EVENT).max(1);
        let framing = if self.unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        headers.push(("Weight-Versions", "1"));
        to.write_all(head(&headers, "text/event-stream", framing).as_bytes())?;
        for n in 1..=events {
            thread::sleep(EVENT_EVERY);
            let event = format!("id: {n}\ndata: {id} {n}/{events}\n\n");
            let bytes = if self.unframed {
                event.into_bytes()
            } else {
                format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
            };
            to.write_all(&bytes)?;
            if n % 10 == 0 {
                println!("event {id} {n}/{events}");
            }
        }
        if !self.unframed {
            to.write_all(b"0\r\n\r\n")?;
        }
        println!("whole {id}");
        Ok(!self.unframed)
    }
}

/// Writes the head of an answer whose body follows.
fn head(headers: &[(&str, &str)], kind: &str, framing: &str) -> String {
    let rows: Vec<String> = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n{framing}\r\n{}\r\n",
        rows.concat()
    )
}

/// Writes a model as reports and entries do.
pub fn held(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
}
