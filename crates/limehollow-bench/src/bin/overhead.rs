//! Measures what a gateway adds, on sockets: the same requests to an endpoint directly and through a
//! gateway, in turns, with the gateway's processor time.
//!
//! usage: overhead --direct URL --through URL [--pid N] [--model NAME] [--requests N] [--at-once N]

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]

use hdrhistogram::Histogram;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

struct Call {
    direct: String,
    through: String,
    pid: Option<u32>,
    model: String,
    requests: u64,
    at_once: u64,
}

fn parse() -> Result<Call, lexopt::Error> {
    use lexopt::prelude::{Long, ValueExt};
    let mut call = Call {
        direct: String::new(),
        through: String::new(),
        pid: None,
        model: "draft-large".to_owned(),
        requests: 2_000,
        at_once: 1,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("direct") => call.direct = parser.value()?.string()?,
            Long("through") => call.through = parser.value()?.string()?,
            Long("pid") => call.pid = Some(parser.value()?.parse()?),
            Long("model") => call.model = parser.value()?.string()?,
            Long("requests") => call.requests = parser.value()?.parse()?,
            Long("at-once") => call.at_once = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(call)
}

/// Processor time of a process, in seconds.
fn cpu(pid: Option<u32>) -> f64 {
    let Some(pid) = pid else { return 0.0 };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<u64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<u64>() as f64 / 100.0
}

async fn run(call: &Call, base: &str) -> (Histogram<u64>, f64, u64) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("an HTTP client");
    let body = serde_json::json!({ "model": call.model, "prompt": "measure", "max_tokens": 1 });
    let url = format!("{base}/v1/completions");
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..call.at_once {
        let (client, url, body) = (client.clone(), url.clone(), body.clone());
        let (next, requests) = (Arc::clone(&next), call.requests);
        tasks.push(tokio::spawn(async move {
            let mut h =
                Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("three digits are valid");
            let mut failed = 0;
            while next.fetch_add(1, Ordering::Relaxed) < requests {
                let at = Instant::now();
                let res = client.post(&url).json(&body).send().await;
                let ok = match res {
                    Ok(r) => r.status().is_success() && r.bytes().await.is_ok(),
                    Err(_) => false,
                };
                failed += u64::from(!ok);
                h.saturating_record(u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            (h, failed)
        }));
    }
    let mut all = Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("three digits are valid");
    let mut failed = 0;
    for t in tasks {
        let (h, f) = t.await.expect("a task ends");
        all.add(h).expect("they have the same digits");
        failed += f;
    }
    (
        all,
        call.requests as f64 / start.elapsed().as_secs_f64(),
        failed,
    )
}

fn main() -> ExitCode {
    let call = match parse() {
        Ok(c) if !c.direct.is_empty() && !c.through.is_empty() => c,
        Ok(_) => {
            eprintln!("overhead: --direct URL and --through URL are needed");
            return ExitCode::from(2);
        }
        Err(e) => {
            eprintln!("overhead: {e}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("threads").block_on(async {
        println!(
            "{:<9} {:>9} {:>9} {:>12} {:>8} {:>14}",
            "way", "p50 us", "p99 us", "requests/s", "failed", "gateway cpu us"
        );
        for _ in 0..3 {
            for (name, base) in [("direct", &call.direct), ("through", &call.through)] {
                let before = cpu(call.pid);
                let (h, rate, failed) = run(&call, base).await;
                let used = (cpu(call.pid) - before) / call.requests as f64 * 1e6;
                println!(
                    "{name:<9} {:>9} {:>9} {rate:>12.0} {failed:>8} {used:>14.0}",
                    h.value_at_quantile(0.5),
                    h.value_at_quantile(0.99)
                );
            }
        }
    });
    ExitCode::SUCCESS
}
