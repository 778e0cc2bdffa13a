//! The HTTP interface for callers: routes, limits and the reading of request bodies.

use crate::answer::ErrorAnswer;
use crate::dispatch::run;
use crate::request::{
    self, ParseRequestError, ParsedRequest, REQUEST_ID, RequestMeta, WaitLimits, header_value,
};
use crate::settings::LimitSettings;
use crate::shared::Shared;
use bytes::Bytes;
use futures_util::StreamExt;
use limehollow_edge::request_memory::{MemoryBound, Upload, UploadError};
use poem::http::{HeaderMap, StatusCode};
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, handler};
use serde_json::json;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The retry delay of a request for whose body there is no memory.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Returns the HTTP routes for callers.
pub fn routes(shared: Arc<Shared>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/models", models)
        .at("/v1/completions", completions)
        .at("/v1/chat/completions", completions)
        .at("/services/:name", service)
        .at("/services/:name/*rest", service)
        .at("/*any", not_found)
        .data(shared)
}

/// Checks the limits, runs `f` and adds the request ID to the response, also to an error.
async fn with_request_id<F, R>(shared: &Shared, req: &Request, f: F) -> Response
where
    F: FnOnce(SmolStr) -> R,
    R: Future<Output = Result<Response, ErrorAnswer>>,
{
    let id = match request::request_id(req.headers()) {
        Ok(id) => id,
        Err(e) => return bad_request(&e).response(),
    };
    let res = match check_limits(shared, req.headers()) {
        Ok(()) => f(id.clone()).await,
        Err(error) => Err(error),
    };
    let mut res = res.unwrap_or_else(|error| error.response());
    res.headers_mut().insert(REQUEST_ID, header_value(&id));
    res
}

fn check_limits(shared: &Shared, headers: &HeaderMap) -> Result<(), ErrorAnswer> {
    let limits = &shared.settings.limits;
    let bytes: usize = headers
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len())
        .sum();
    if bytes > limits.header_bytes {
        let message = format!(
            "headers have {bytes} bytes, {} are allowed",
            limits.header_bytes
        );
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(ErrorAnswer::permanent(status, "headers_too_large", message));
    }
    if shared.connections.open() > limits.connections {
        return Err(ErrorAnswer::retryable(
            StatusCode::TOO_MANY_REQUESTS,
            "too_many_connections",
            "this gateway has too many connections",
            limehollow::verdict::Verdict::NotRun,
            Duration::from_secs(1),
        ));
    }
    Ok(())
}

fn bad_request(error: &ParseRequestError) -> ErrorAnswer {
    ErrorAnswer::permanent(
        StatusCode::BAD_REQUEST,
        "invalid_request",
        error.to_string(),
    )
}

fn parse_meta(shared: &Shared, req: &Request, id: SmolStr) -> Result<RequestMeta, ErrorAnswer> {
    let remote = req.remote_addr().as_socket_addr().copied();
    let limits = &shared.settings.limits;
    let wait_limits = WaitLimits {
        default: Duration::from_millis(limits.default_deadline_ms),
        longest: Duration::from_millis(limits.idle_ms.saturating_sub(limits.idle_ms / 10)),
    };
    request::parse_meta(req.headers(), remote, id, &wait_limits).map_err(|e| bad_request(&e))
}

/// Reads a body within the configured limits on size, memory and time.
async fn read_body(shared: &Shared, body: Body) -> Result<Bytes, ErrorAnswer> {
    let limits = &shared.settings.limits;
    let upload = shared.request_memory.begin(Instant::now());
    let read = async {
        tokio::select! {
            biased;
            read = read_pieces(limits, &upload, body) => read,
            () = upload.displaced() => Err(no_memory(UploadError::Displaced)),
        }
    };
    match timeout(Duration::from_millis(limits.body_ms), read).await {
        Ok(Ok(())) => upload.finish().map_err(no_memory),
        Ok(Err(e)) => Err(e),
        Err(_) => {
            let message = format!("the body was not there within {} ms", limits.body_ms);
            Err(ErrorAnswer::permanent(
                StatusCode::REQUEST_TIMEOUT,
                "body_too_slow",
                message,
            ))
        }
    }
}

/// Reads a body to its end.
async fn read_pieces(
    limits: &LimitSettings,
    upload: &Upload,
    body: Body,
) -> Result<(), ErrorAnswer> {
    let bound = MemoryBound::new(limits.all_body_bytes, limits.body_bytes);
    let mut len = 0;
    let mut pieces = Box::pin(body.into_bytes_stream());
    while let Some(piece) = pieces.next().await {
        let Ok(piece) = piece else {
            let status = StatusCode::BAD_REQUEST;
            return Err(ErrorAnswer::permanent(
                status,
                "body_broken",
                "the body ended early",
            ));
        };
        len += piece.len();
        if len > limits.body_bytes {
            let message = format!("the body has more than {} bytes", limits.body_bytes);
            return Err(ErrorAnswer::permanent(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                message,
            ));
        }
        upload
            .push(&piece, limits.body_bytes, bound, Instant::now)
            .map_err(no_memory)?;
    }
    Ok(())
}

/// Builds the answer to a request for whose body there is no memory.
fn no_memory(e: UploadError) -> ErrorAnswer {
    let message = match e {
        UploadError::Full => "there is no memory for the body now",
        UploadError::Displaced => "the unfinished body gave way to other requests",
    };
    ErrorAnswer::retryable(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_memory",
        message,
        limehollow::verdict::Verdict::NotRun,
        NO_MEMORY_RETRY,
    )
}

fn wrong_method(allowed: &'static str) -> ErrorAnswer {
    let message = format!("only {allowed} is allowed here");
    ErrorAnswer::permanent(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        message,
    )
}

#[handler]
async fn models(Data(shared): Data<&Arc<Shared>>, req: &Request) -> Response {
    with_request_id(shared, req, |_| async {
        if req.method() != "GET" {
            return Err(wrong_method("GET"));
        }
        let table = shared.table.load();
        let rows: Vec<_> = table
            .model_names()
            .into_iter()
            .map(|m| json!({ "id": m, "object": "model", "created": 0, "owned_by": "limehollow" }))
            .collect();
        let body = json!({ "object": "list", "data": rows });
        Ok(poem::web::Json(body).into_response())
    })
    .await
}

#[handler]
async fn completions(Data(shared): Data<&Arc<Shared>>, req: &Request, body: Body) -> Response {
    with_request_id(shared, req, |id| async {
        if req.method() != "POST" {
            return Err(wrong_method("POST"));
        }
        let meta = parse_meta(shared, req, id)?;
        let body = read_body(shared, body).await?;
        let path = req.uri().path();
        let parsed = request::parse_completion(meta, path, req.headers(), body);
        let parsed: ParsedRequest = parsed.map_err(|e| bad_request(&e))?;
        Ok(run(shared, parsed).await)
    })
    .await
}

#[handler]
async fn service(Data(shared): Data<&Arc<Shared>>, req: &Request, body: Body) -> Response {
    with_request_id(shared, req, |id| async {
        let name: SmolStr = req.raw_path_param("name").unwrap_or_default().into();
        let meta = parse_meta(shared, req, id)?;
        let body = read_body(shared, body).await?;
        let path = service_path(req, &name);
        let parsed =
            request::parse_service(meta, name, req.method().clone(), path, req.headers(), body);
        Ok(run(shared, parsed).await)
    })
    .await
}

/// Returns the path and query to send to the service: what follows its name in the caller's URL,
/// not decoded.
fn service_path(req: &Request, name: &str) -> SmolStr {
    let whole = req
        .original_uri()
        .path_and_query()
        .map_or("", |p| p.as_str());
    let rest = whole
        .strip_prefix("/services/")
        .and_then(|r| r.find(['/', '?']).map(|i| &r[i..]))
        .unwrap_or("");
    debug_assert!(!name.is_empty(), "the route has a name");
    if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}").into()
    }
}

#[handler]
async fn not_found(Data(shared): Data<&Arc<Shared>>, req: &Request) -> Response {
    with_request_id(shared, req, |_| async {
        let message = format!("there is nothing at {}", req.uri().path());
        Err(ErrorAnswer::permanent(
            StatusCode::NOT_FOUND,
            "not_found",
            message,
        ))
    })
    .await
}
