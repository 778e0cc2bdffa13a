//! How processes call HTTP services.

use crate::error::{CallSnafu, ConnectSnafu, Error, Result, StatusSnafu};
use serde::de::DeserializeOwned;
use snafu::IntoError;
use std::time::Duration;

/// How long a connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a short call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ERROR_BODY: usize = 200;

/// Makes a client for short calls.
///
/// # Errors
///
/// [`Error::Call`] if the library can't start.
pub fn client() -> Result<reqwest::Client> {
    // The addresses are IP numbers of our own network: a proxy from the environment is never meant.
    let builder = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    builder
        .build()
        .map_err(|e| CallSnafu { what: "client" }.into_error(e))
}

/// Sends a call and reads its JSON answer.
///
/// # Errors
///
/// [`Error::Connect`] if no byte left, [`Error::Call`] if the answer was lost, [`Error::Status`] for
/// an answer that isn't a success.
pub async fn json<T>(what: &'static str, req: reqwest::RequestBuilder) -> Result<T>
where
    T: DeserializeOwned,
{
    let res = req.send().await.map_err(|e| classify(what, e))?;
    let status = res.status();
    if !status.is_success() {
        let mut body = res.text().await.unwrap_or_default();
        body.truncate(body.floor_char_boundary(MAX_ERROR_BODY));
        return StatusSnafu {
            what,
            status: status.as_u16(),
            body,
        }
        .fail();
    }
    res.json()
        .await
        .map_err(|e| CallSnafu { what }.into_error(e))
}

/// Tells a failure to connect from one after which the call may have taken effect.
#[must_use]
pub fn classify(what: &'static str, e: reqwest::Error) -> Error {
    if e.is_connect() {
        ConnectSnafu { what }.into_error(e)
    } else {
        CallSnafu { what }.into_error(e)
    }
}
