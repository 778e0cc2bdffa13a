//! Completions of the model engine's stand-in.

use super::Engine;
use bytes::Bytes;
use futures_util::Stream;
use limehollow_wire::engine::{NOT_RUN, RESUME_FROM};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Response, handler};
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Gives the words that the model answers to a prompt with.
#[must_use]
pub fn word(prompt: &str, i: u32) -> String {
    let h = prompt
        .bytes()
        .fold(17_u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
    format!("w{:04x}.{i} ", (h ^ i.wrapping_mul(0x9E37_79B9)) & 0xffff)
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: SmolStr,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// A request at work; it counts itself out when it ends, also when the caller left.
struct Running {
    engine: Arc<Engine>,
    model: SmolStr,
    id: SmolStr,
    whole: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.at_work -= 1;
        if let Some(n) = inner.running.get_mut(&self.model) {
            *n -= 1;
        }
        inner.running.retain(|_, n| *n > 0);
        let kind = if self.whole { "done" } else { "cut" };
        self.engine.record(
            &mut inner,
            kind,
            self.model.clone(),
            usize::MAX,
            self.id.clone(),
        );
    }
}

fn not_run(status: StatusCode, message: &str) -> Response {
    let body =
        json!({ "error": { "message": message, "type": "engine", "code": status.as_u16() } });
    Response::builder()
        .status(status)
        .header(NOT_RUN, "1")
        .content_type("application/json")
        .body(body.to_string())
}

#[handler]
pub(super) async fn completions(
    Data(engine): Data<&Arc<Engine>>,
    headers: &HeaderMap,
    Json(body): Json<CompletionBody>,
) -> Response {
    engine.freeze_point().await;
    let chat = body.prompt.is_none();
    let prompt = body.prompt.unwrap_or_else(|| {
        body.messages
            .iter()
            .map(|m| m.content.as_str())
            .collect::<Vec<_>>()
            .join("\n")
    });
    let id: SmolStr = header(headers, "x-request-id").unwrap_or_default().into();
    let resume: u32 = header(headers, RESUME_FROM)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    if engine.lock().faults.refuse {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "refused");
    }
    if Engine::ready(&engine.lock(), &body.model).is_none() {
        return not_run(StatusCode::NOT_FOUND, "the model is not loaded here");
    }
    engine.lock().waiting += 1;
    let waiting = Waiting(Arc::clone(engine));
    let Ok(permit) = engine.slots.acquire().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "ends");
    };
    drop(waiting);
    let (cancel, first, break_after, running) = {
        let mut inner = engine.lock();
        let Some(cancel) = Engine::ready(&inner, &body.model) else {
            return not_run(StatusCode::NOT_FOUND, "the model is not loaded here");
        };
        inner.at_work += 1;
        *inner.running.entry(body.model.clone()).or_default() += 1;
        engine.record(
            &mut inner,
            "run",
            body.model.clone(),
            usize::MAX,
            id.clone(),
        );
        let breaks = inner.faults.break_streams > 0;
        inner.faults.break_streams = inner.faults.break_streams.saturating_sub(1);
        let break_after = breaks.then_some(inner.faults.break_after);
        let first = engine.first_token_time(&mut inner, &prompt);
        let (engine, model) = (Arc::clone(engine), body.model.clone());
        (
            cancel,
            first,
            break_after,
            Running {
                engine,
                model,
                id: id.clone(),
                whole: false,
            },
        )
    };
    let max = body.max_tokens.unwrap_or(16);
    let words = Words {
        prompt,
        next: resume,
        max,
        chat,
        model: body.model,
        id,
    };
    permit.forget();
    let run = Run {
        words,
        running,
        cancel,
        first,
        break_after,
        slot: Slot(Arc::clone(engine)),
    };
    if body.stream {
        run.stream_response()
    } else {
        run.whole_response().await
    }
}

struct Waiting(Arc<Engine>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.slots.add_permits(1);
    }
}

struct Words {
    prompt: String,
    next: u32,
    max: u32,
    chat: bool,
    model: SmolStr,
    id: SmolStr,
}

struct Run {
    words: Words,
    running: Running,
    cancel: CancellationToken,
    first: Duration,
    break_after: Option<u32>,
    slot: Slot,
}

impl Run {
    /// Waits for the next token: its text, or nothing at the end, or an error if the run is cut.
    async fn next(&mut self) -> Result<Option<String>, ()> {
        let w = &mut self.words;
        if self.break_after.is_some_and(|n| w.next >= n) {
            return Err(());
        }
        if w.next >= w.max {
            self.running.whole = true;
            return Ok(None);
        }
        let engine = Arc::clone(&self.running.engine);
        let pause = std::mem::replace(
            &mut self.first,
            Duration::from_millis(engine.settings.per_token_ms),
        );
        tokio::select! {
            () = self.cancel.cancelled() => return Err(()),
            () = sleep(pause) => {}
        }
        engine.freeze_point().await;
        let text = word(&w.prompt, w.next);
        w.next += 1;
        Ok(Some(text))
    }

    async fn whole_response(mut self) -> Response {
        let mut text = String::new();
        loop {
            match self.next().await {
                Ok(Some(t)) => text.push_str(&t),
                Ok(None) => break,
                Err(()) => {
                    let status = StatusCode::INTERNAL_SERVER_ERROR;
                    return (status, "the run was cut\n").into_response();
                }
            }
        }
        let w = &self.words;
        let choice = if w.chat {
            json!({ "index": 0, "finish_reason": "length",
                    "message": { "role": "assistant", "content": text } })
        } else {
            json!({ "index": 0, "finish_reason": "length", "text": text })
        };
        let usage = json!({ "completion_tokens": w.max, "prompt_tokens": w.prompt.len() / 4,
                            "total_tokens": w.max as usize + w.prompt.len() / 4 });
        let object = if w.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let body = json!({ "id": w.id, "object": object, "model": w.model,
                           "choices": [choice], "usage": usage });
        Response::builder()
            .content_type("application/json")
            .body(body.to_string())
    }

    fn stream_response(self) -> Response {
        let body = Body::from_bytes_stream(self.chunks());
        Response::builder()
            .content_type("text/event-stream")
            .body(body)
    }

    fn chunks(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        futures_util::stream::unfold(Some(self), |run| async move {
            let mut run = run?;
            let _held = &run.slot;
            match run.next().await {
                Ok(Some(text)) => {
                    let chunk = run.words.chunk(&text);
                    Some((Ok(Bytes::from(chunk)), Some(run)))
                }
                Ok(None) => Some((Ok(Bytes::from("data: [DONE]\n\n")), None)),
                Err(()) => Some((Err(std::io::Error::other("cut")), None)),
            }
        })
    }
}

impl Words {
    fn chunk(&self, text: &str) -> String {
        let end = if self.next >= self.max {
            json!("length")
        } else {
            json!(null)
        };
        let (object, choice) = if self.chat {
            let delta = json!({ "role": "assistant", "content": text });
            (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": delta, "finish_reason": end }),
            )
        } else {
            (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": end }),
            )
        };
        let body =
            json!({ "id": self.id, "object": object, "model": self.model, "choices": [choice] });
        format!("data: {body}\n\n")
    }
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
