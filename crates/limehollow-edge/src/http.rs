//! Calls to HTTP services: the shared client, timeouts and the classification of errors.

use crate::error::{
    CallSnafu, ConnectSnafu, Error, MalformedSnafu, Result, StatusSnafu, TooLargeSnafu,
};
use serde::de::DeserializeOwned;
use snafu::{IntoError, ResultExt};
use std::time::Duration;

/// The timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for a short call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of an answer, in bytes.
const MAX_BODY: usize = 16 << 20;
/// The bytes of a failure's body that an error shows.
const MAX_ERROR_BODY: usize = 200;

/// Creates an HTTP client for short calls.
///
/// # Errors
///
/// Returns [`Error::Call`] if the HTTP client can't be created.
pub fn client() -> Result<reqwest::Client> {
    // All addresses are IP addresses of the own network, so proxies from the environment must not be used.
    let builder = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    builder
        .build()
        .map_err(|e| CallSnafu { what: "client" }.into_error(e))
}

/// Sends a request and decodes the JSON body of the answer.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the connection failed, [`Error::Call`] if the answer was lost, [`Error::TooLarge`] or
/// [`Error::Malformed`] if it can't be used, [`Error::Status`] if the status code isn't a success.
pub async fn json<T>(what: &'static str, req: reqwest::RequestBuilder) -> Result<T>
where
    T: DeserializeOwned,
{
    let res = req.send().await.map_err(|e| classify(what, e))?;
    let status = res.status();
    let body = read_body(what, res).await;
    if !status.is_success() {
        return StatusSnafu {
            what,
            status: status.as_u16(),
            body: beginning(body),
        }
        .fail();
    }
    serde_json::from_slice(&body?).context(MalformedSnafu { what })
}

/// Returns the beginning of a failure's body. The status counts even if the body can't be read.
fn beginning(body: Result<Vec<u8>>) -> String {
    let body = body.unwrap_or_else(|e| {
        tracing::debug!(error = %e, "the body of a failure can't be read");
        Vec::new()
    });
    let mut text = String::from_utf8_lossy(&body).into_owned();
    text.truncate(text.floor_char_boundary(MAX_ERROR_BODY));
    text
}

/// Reads a body whole, unless it is too large: a service in trouble may send one without end.
async fn read_body(what: &'static str, mut res: reqwest::Response) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let piece = res.chunk().await;
        let Some(piece) = piece.map_err(|e| CallSnafu { what }.into_error(e))? else {
            return Ok(body);
        };
        if body.len() + piece.len() > MAX_BODY {
            return TooLargeSnafu { what }.fail();
        }
        body.extend_from_slice(&piece);
    }
}

/// Converts an error of `reqwest`, distinguishing a failure to connect from a failure after which the
/// call may have taken effect.
#[must_use]
pub fn classify(what: &'static str, e: reqwest::Error) -> Error {
    if e.is_connect() {
        ConnectSnafu { what }.into_error(e)
    } else {
        CallSnafu { what }.into_error(e)
    }
}
