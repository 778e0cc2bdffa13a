//! Traits and types at the boundary to the platform, to callers and to endpoints.
//!
//! A platform implements [`Store`], [`PeerStates`] and [`Protocol`]; the rest of the crate sees only the types here.

use bytes::Bytes;
use http::request::Parts as RequestParts;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::Full;
use limehollow::backpressure::Signals;
use limehollow::catalog::Catalog;
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::group_lease::GroupAssignment;
use limehollow::id::ZoneName;
use limehollow::job::PromptPart;
use limehollow::log_position::LogPosition;
use limehollow::rebalance::EndpointReport;
use limehollow::roster::{Endpoint, ModelRef};
use limehollow::version_history::ListedVersion;
use limehollow::workspace::KeyDigest;
use limehollow_wire::gossip::{ListChange, Members, State};
use smol_str::SmolStr;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// A record stream of the platform's store that this process follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feed {
    /// The operators' configuration.
    Configuration,
    /// The list of endpoints.
    Endpoints,
    /// The VMs that run this program.
    Vms,
}

/// One VM that runs this program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
    /// Its CPU capacity, in thousandths of a core.
    pub millicores: u32,
}

/// A change read from a feed.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration is in force.
    Catalog(Box<Catalog>),
    /// An endpoint was added, or its entry changed.
    Endpoint(Endpoint),
    /// The endpoint with this id was removed from the list.
    EndpointGone(SmolStr),
    /// A VM has started.
    Vm(Vm),
    /// The evacuation of a zone begins or ends.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// `true` if the zone's endpoints get no new work from now on.
        begins: bool,
    },
    /// A record that can't be parsed. The endpoint of a malformed list entry is not used; in the other feeds the last
    /// valid record stays in force.
    Malformed {
        /// The record's key.
        key: SmolStr,
        /// Why the record can't be parsed.
        why: String,
    },
}

impl From<ListChange> for Change {
    fn from(c: ListChange) -> Self {
        match c {
            ListChange::Listed(e) => Self::Endpoint(e),
            ListChange::Gone(id) => Self::EndpointGone(id),
            ListChange::Unreadable(key) => Self::Malformed {
                key,
                why: "another VM could not parse the record".to_owned(),
            },
        }
    }
}

/// A batch of changes of a feed, in order.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The position from which the next read continues.
    pub next: LogPosition,
    /// The changes.
    pub changes: Vec<Change>,
}

/// The error of a call to the platform's store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// There was no answer, so the call may or may not have taken effect.
    #[snafu(display("{call}: no answer: {why}"))]
    NoAnswer {
        /// The name of the call.
        call: &'static str,
        /// The connection's error.
        why: String,
    },
    /// The store limits the rate of calls or is unavailable; the call had no effect.
    #[snafu(display("{call}: rejected with status {status}"))]
    Rejected {
        /// The name of the call.
        call: &'static str,
        /// The status code of the answer.
        status: u16,
    },
    /// The position is older than the retained history, or the store has been restored from a backup since.
    #[snafu(display("{call}: the history from that position on is gone"))]
    HistoryGone {
        /// The name of the call.
        call: &'static str,
    },
    /// Any other status, which means that the call itself is wrong.
    #[snafu(display("{call}: status {status}: {body}"))]
    UnexpectedStatus {
        /// The name of the call.
        call: &'static str,
        /// The status code of the answer.
        status: u16,
        /// The beginning of the answer's body.
        body: String,
    },
    /// The answer can't be parsed.
    #[snafu(display("{call}: {why}"))]
    Malformed {
        /// The name of the call.
        call: &'static str,
        /// Why the answer can't be parsed.
        why: String,
    },
}

/// What VMs keep in the platform's store for when all of them lose their memory.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// The records of quarantined requests.
    pub crashes: Vec<CrashRecord>,
    /// The versions of the endpoints' software that were listed; `None` if none were ever stored.
    pub versions: Option<Vec<ListedVersion>>,
}

/// A client of the platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Reads the changes from a position on. Waits for the first one, and returns no changes after `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] if the history is gone or the position is of another era: the feed has to be
    /// read again with [`Store::newest`].
    fn changes(
        &self,
        feed: Feed,
        from: LogPosition,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Announces VMs to the other VMs, with one call.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn announce(&self, vms: &[Vm]) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Joins the group of which one member holds the lease, or renews the membership.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn join(
        &self,
        member: &str,
        generation: u64,
    ) -> impl Future<Output = Result<GroupAssignment, StoreError>> + Send;

    /// Reads what VMs keep in the store for when all of them lose their memory. Ages aren't stored, so each record's age
    /// counts from this read.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn kept(&self) -> impl Future<Output = Result<Kept, StoreError>> + Send;

    /// Stores which versions of the endpoints' software are listed, in place of those stored before.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn put_versions(
        &self,
        versions: &[ListedVersion],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Stores the record of a quarantined request, or deletes it if `record` is `None`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn put_crash_record(
        &self,
        request: Fingerprint,
        record: Option<&CrashRecord>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Leaves the group, so that another member gets the lease at once.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// A client that fetches state from other VMs.
pub trait PeerStates: Clone + Send + Sync + 'static {
    /// Fetches what another VM has read from the store.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure for a log line.
    fn fetch(&self, from: SocketAddr) -> impl Future<Output = Result<State, String>> + Send;

    /// Fetches another VM's configuration; the rest of the returned state is empty.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure for a log line.
    fn fetch_configuration(
        &self,
        from: SocketAddr,
    ) -> impl Future<Output = Result<State, String>> + Send;

    /// Fetches another VM's state for a VM that starts. Returns `None` while the other VM's state is incomplete or its
    /// copy of the list doesn't go beyond this position.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure for a log line.
    fn fetch_start(
        &self,
        from: SocketAddr,
        beyond: LogPosition,
    ) -> impl Future<Output = Result<Option<State>, String>> + Send;

    /// Fetches the VMs that another VM knows.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure for a log line.
    fn fetch_members(
        &self,
        from: SocketAddr,
    ) -> impl Future<Output = Result<Members, String>> + Send;

    /// Fetches another VM's records of requests under which endpoints crashed.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure for a log line.
    fn fetch_crashes(
        &self,
        from: SocketAddr,
    ) -> impl Future<Output = Result<Vec<CrashRecord>, String>> + Send;
}

/// A request's metadata, beside its method, path and body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMeta {
    /// The request's id.
    pub id: SmolStr,
    /// The key that the request carries. Callers aren't identified by address: one caller may use several addresses,
    /// and several callers may share one.
    pub key: Option<KeyDigest>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The model that the request needs, if any.
    pub model: Option<ModelRef>,
    /// The number of tokens in its prompt.
    pub prompt_tokens: u32,
    /// The maximum number of tokens that it may generate.
    pub max_output: u32,
    /// The parts of its prompt.
    pub parts: Vec<PromptPart>,
    /// The stream that it takes up, if it does.
    pub resumption: Option<Resumption>,
}

/// What a request says of the stream that it takes up after it was broken off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The id of the request that brought the stream's first event, if the caller names it.
    pub first_request: Option<SmolStr>,
}

impl RequestMeta {
    /// Returns the request's prompt and output tokens together, or `None` if it states neither.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        let sum = u64::from(self.prompt_tokens) + u64::from(self.max_output);
        Some(sum).filter(|n| *n > 0)
    }
}

/// The error of a request whose metadata can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {why}"), visibility(pub))]
pub struct ParseRequestError {
    /// The invalid header.
    pub header: &'static str,
    /// Why it is invalid.
    pub why: String,
}

/// What the gateway adds to the caller's request when it forwards it to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardMeta<'a> {
    /// The time left until the request's deadline.
    pub remaining: Duration,
    /// The only instance that may run the request.
    pub instance: &'a str,
    /// The request's rank; 0 is the most urgent.
    pub rank: u8,
    /// The workspace whose key the request carries.
    pub workspace: Option<&'a str>,
}

/// What the gateway does with a header of a request or an answer that it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderPolicy {
    /// Forwarded even if `Connection` names it: without the header the message would mean something else.
    Required,
    /// Forwarded, unless it is a hop-by-hop header.
    Forward,
    /// The caller's credential. It is removed where workspaces have keys, as the gateway checks it then.
    Credential,
    /// Set by the gateway only: a value from the other side is removed.
    Reserved,
}

/// The class of an endpoint's answer, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The answer to this request: a success, or a failure of the endpoint itself.
    Genuine,
    /// The endpoint did not run the request.
    NotRun,
    /// The instance is gone or doesn't hold the model; the request did not run.
    Misdirected {
        /// `true` if the answer shows that another instance has this address.
        other_instance: bool,
    },
    /// The answer to another request.
    Foreign,
    /// An answer that no endpoint sends, such as one without the endpoint's mark.
    Invalid,
}

/// The action of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order to an endpoint.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// The only instance that may carry out the order.
    pub instance: &'a str,
    /// The action.
    pub action: Action,
    /// The model or adapter to load or unload.
    pub subject: &'a ModelRef,
    /// The number of orders that the endpoint has to have taken so far; otherwise the order is void.
    pub expected: u64,
    /// The VM that sends the order and holds the lease.
    pub holder: &'a str,
    /// The fencing number of the lease.
    pub fence: u64,
}

/// An endpoint's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint carries out the order.
    Taken,
    /// The endpoint is already in the ordered state.
    Holds,
    /// The endpoint is busy, or has taken another number of orders than expected.
    Conflict,
    /// The endpoint refused the order with this status.
    Refused(u16),
}

/// The protocol that callers and endpoints use.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Parses a request's metadata.
    ///
    /// # Errors
    ///
    /// Returns the header that can't be parsed.
    fn parse_request(&self, head: &RequestParts) -> Result<RequestMeta, ParseRequestError>;

    /// Returns the policy for a caller's header on the way to an endpoint.
    fn request_header(&self, name: &HeaderName) -> HeaderPolicy;

    /// Returns the policy for an endpoint's header on the way to the caller.
    fn answer_header(&self, name: &HeaderName) -> HeaderPolicy;

    /// Writes what the gateway adds for an endpoint into a request's headers.
    fn set_forward_headers(&self, headers: &mut HeaderMap, s: &ForwardMeta<'_>);

    /// Classifies the answer to the request with this id, which was sent to this instance.
    fn classify_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
        instance: &str,
    ) -> AnswerClass;

    /// Parses the endpoint's load signals in an answer, whether or not the request succeeded.
    fn signals(&self, status: StatusCode, headers: &HeaderMap) -> Signals;

    /// Sets the request's id on an answer that the gateway itself produces.
    fn set_request_id(&self, headers: &mut HeaderMap, id: &str);

    /// Builds the request for an endpoint's report.
    fn report_request(&self, instance: &str) -> Request<Full<Bytes>>;

    /// Parses an endpoint's report.
    ///
    /// # Errors
    ///
    /// Returns why the report can't be parsed.
    fn read_report(&self, body: &[u8]) -> Result<EndpointReport, String>;

    /// Builds the request for an order.
    fn order_request(&self, o: &Order<'_>) -> Request<Full<Bytes>>;

    /// Returns the reply that this status of an order's answer means.
    fn order_reply(&self, status: StatusCode) -> OrderReply;
}
