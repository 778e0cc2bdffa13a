//! A stand-in of a model worker, as a process of its own. What it does it says on its standard output.

use crate::http::{self, Message, json_field};
use std::collections::BTreeSet;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

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
    state: Mutex<State>,
}

/// Runs a worker: its id, its address and its models, with commas.
pub fn run(args: &[String]) -> io::Result<()> {
    let listener = TcpListener::bind(&args[1])?;
    let models = args[2].split(',').filter(|m| !m.is_empty());
    let worker = Arc::new(Worker {
        id: args[0].clone(),
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
            _ => self.work(id, headers, to)?,
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

    /// Runs a plain request; no case sends another.
    fn work(&self, id: &str, mut headers: Vec<(&str, &str)>, to: &mut TcpStream) -> io::Result<()> {
        println!("run {id}");
        headers.push(("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        thread::sleep(WORK);
        http::answer(to, "200 OK", &headers, &[b'x'; 800])?;
        println!("whole {id}");
        Ok(())
    }
}

/// Writes a model as reports and entries do.
pub fn held(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
}
