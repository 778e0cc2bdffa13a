//! The client of the platform's append-only log.

use crate::error::Result;
use crate::http::{CALL_TIMEOUT, client, json};
use limehollow_wire::platform::{Append, Appended, Records};
use std::time::Duration;

/// An append-only log with offsets.
///
/// The service may be down or slow, or may lose the answer to an append that took effect.
pub trait LogService: Send + Sync {
    /// Appends records in one call and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// After an error the append may still have taken effect. Only reading the log shows whether it did.
    fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> impl Future<Output = Result<u64>> + Send;

    /// Reads records starting at offset `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or rejects the request.
    fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> impl Future<Output = Result<Records>> + Send;
}

/// A client of the log over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: reqwest::Client,
    base: String,
}

impl HttpLog {
    /// Creates a client of the service at `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Call`] if the HTTP client can't be created.
    pub fn new(address: &str) -> Result<Self> {
        Ok(Self {
            client: client()?,
            base: format!("http://{address}/log"),
        })
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64> {
        let url = format!("{}/{stream}/append", self.base);
        let req = self.client.post(url).json(&Append { records });
        Ok(json::<Appended>("log append", req).await?.first)
    }

    async fn read(&self, stream: &str, from: u64, limit: u32, wait: Duration) -> Result<Records> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/{stream}/read?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.base
        );
        let req = self.client.get(url).timeout(wait + CALL_TIMEOUT);
        json("log read", req).await
    }
}
