//! Reads the report of an endpoint on itself.
//!
//! The VM that gives the orders reads a report before each of them. An endpoint in trouble may send one without end, so
//! what is read has a bound (`docs/design/streams.md`).

use crate::answer_memory::BodyRead;
use crate::attempt::{self, AttemptFailure, Target};
use crate::edge::Protocol;
use crate::site::Site;
use limehollow::rebalance::EndpointReport;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The timeout of a call to an endpoint.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why there is no report.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// The call failed before the answer's head was read.
    #[snafu(display("{}", failure.why))]
    Call {
        /// The failure.
        failure: AttemptFailure,
    },
    /// The connection failed before the end of the answer.
    #[snafu(display("{source}"))]
    Connection {
        /// The connection's error.
        source: hyper::Error,
    },
    /// The answer is larger than reports may be, or reports take too much memory now.
    #[snafu(display("the report is too large"))]
    TooLarge,
    /// The endpoint answered with a failure.
    #[snafu(display("status {status}"))]
    Status {
        /// The status code of the answer.
        status: u16,
    },
    /// The report can't be parsed.
    #[snafu(display("{why}"))]
    Malformed {
        /// Why the report can't be parsed.
        why: String,
    },
    /// There was no whole answer in time.
    #[snafu(display("no answer in time"))]
    Late,
}

/// Asks an endpoint for its report.
///
/// # Errors
///
/// Returns a [`ReportError`]. Its connection isn't kept, unless the report was read whole.
pub async fn read<P>(site: &Arc<Site<P>>, to: &Target) -> Result<EndpointReport, ReportError>
where
    P: Protocol,
{
    let called = timeout(CALL_TIMEOUT, read_whole(site, to)).await;
    called.unwrap_or_else(|_late| LateSnafu.fail())
}

async fn read_whole<P>(site: &Arc<Site<P>>, to: &Target) -> Result<EndpointReport, ReportError>
where
    P: Protocol,
{
    let req = site.protocol.report_request(&to.instance.id);
    let sent = attempt::send(site, &site.control_pool, to, req, "", None).await;
    let answer = sent.map_err(|failure| ReportError::Call { failure })?;
    let (head, body) = answer.response.into_parts();
    let read = site.report_memory.read(body).await;
    let BodyRead::Whole(bytes) = read.map_err(|source| ReportError::Connection { source })? else {
        return TooLargeSnafu.fail();
    };
    site.control_pool.put_in_background(answer.connection, None);
    if !head.status.is_success() {
        let status = head.status.as_u16();
        return StatusSnafu { status }.fail();
    }
    let report = site.protocol.read_report(&bytes);
    report.map_err(|why| ReportError::Malformed { why })
}
