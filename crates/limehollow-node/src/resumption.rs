//! Finds out at which version of a service's software a stream began that a caller takes up.
//!
//! The VM that passes on a stream's first event tells the stream's owners, a few VMs that are chosen by a hash. A VM that
//! gets a request to take the stream up asks them: first those of its own zone, then those of the other zones. If nobody
//! knows, the request is refused: a version is never guessed (`docs/design/streams.md`).

use crate::edge::{Feed, Protocol};
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::relay::millis;
use crate::site::Site;
use crate::site_view::SiteView;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use limehollow::catalog::{Catalog, Rule};
use limehollow::stream_origin::{Batches, Known, OriginRecord, StreamOrigin, StreamTag};
use limehollow::version_history::VersionsSeen;
use limehollow_wire::gossip::{OriginReply, QueryBody, Reply, millis as wire_millis};
use rand::seq::IndexedRandom;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The timeout of a query to the owners in the own zone: many times the round trip.
const OWN_ZONE_TIMEOUT: Duration = Duration::from_millis(25);
/// The timeout of a query to the owners in other zones, which may be in another region, and of a second one in the own
/// zone.
const OTHER_ZONES_TIMEOUT: Duration = Duration::from_millis(100);
/// The largest age of the list with which it proves that a service has one version: less than the load of a model takes.
const PROOF_LIST_AGE: Duration = Duration::from_millis(1000);
/// How often another VM is asked for the versions that it has seen.
const HISTORY_EVERY: Duration = Duration::from_millis(500);
/// How often the owners of the streams that run on this VM are determined anew.
const OWNERS_CHECKED_EVERY: Duration = Duration::from_millis(1000);

/// How it is known what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownBy {
    /// This VM remembers it.
    ThisVm,
    /// The VM at this address remembers it.
    OtherVm(SocketAddr),
    /// The list proves it: the service has had no other version.
    OnlyVersion,
}

impl fmt::Display for KnownBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ThisVm => f.write_str("this VM"),
            Self::OtherVm(vm) => write!(f, "{vm}"),
            Self::OnlyVersion => f.write_str("the list"),
        }
    }
}

/// What began a stream, and how this VM knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// What began the stream.
    pub origin: StreamOrigin,
    /// How it is known.
    pub by: KnownBy,
    /// The time since it was recorded there, or the age of the list.
    pub age: Duration,
}

/// Why it isn't known what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFound {
    /// No VM knows it.
    Nobody,
    /// Some VMs that may know it didn't answer.
    Unanswered,
    /// VMs were told of different origins.
    Conflicting,
}

/// Finds out what began a stream.
///
/// # Errors
///
/// Returns why it isn't known.
pub async fn find<P>(site: &Site<P>, stream: StreamTag) -> Result<Found, NotFound>
where
    P: Protocol,
{
    let now = site.now();
    let (known, here) = {
        let view = site.view();
        let known = view.stream_origins.get(now, stream);
        (
            known,
            view.peers.possible_owners_here(now, stream.as_bytes()),
        )
    };
    match known {
        Known::Began { origin, recorded } => {
            return Ok(Found {
                origin,
                by: KnownBy::ThisVm,
                age: now.saturating_duration_since(recorded),
            });
        }
        Known::Conflicting => return Err(NotFound::Conflicting),
        Known::Nothing => {}
    }
    let first = ask(site, &here, stream, OWN_ZONE_TIMEOUT).await;
    if !matches!(first, Err(NotFound::Nobody | NotFound::Unanswered)) {
        return first;
    }
    let mut vms = {
        let view = site.view();
        view.peers
            .possible_owners_elsewhere(site.now(), stream.as_bytes())
    };
    // A VM of the zone that didn't answer may be slow, or the datagram was lost.
    vms.extend(here.iter().filter(|_| first == Err(NotFound::Unanswered)));
    let found = ask(site, &vms, stream, OTHER_ZONES_TIMEOUT).await;
    let view = site.view();
    match found {
        // A VM that starts may not know those yet that know the stream, or what was listed before.
        Err(NotFound::Nobody)
            if !view.has_vms || view.is_starting || view.version_history.is_young(site.now()) =>
        {
            Err(NotFound::Unanswered)
        }
        found => found,
    }
}

/// Returns why it isn't known what began a stream whose caller doesn't name the first request.
pub(crate) fn unnamed<P>(site: &Site<P>) -> NotFound
where
    P: Protocol,
{
    if site.view().version_history.is_young(site.now()) {
        NotFound::Unanswered
    } else {
        NotFound::Nobody
    }
}

/// Asks VMs at once and returns the first answer that says what began the stream.
async fn ask<P>(
    site: &Site<P>,
    vms: &[SocketAddr],
    stream: StreamTag,
    within: Duration,
) -> Result<Found, NotFound>
where
    P: Protocol,
{
    let ask_one = |vm: SocketAddr| async move {
        let body = QueryBody::StreamOrigin(stream);
        (vm, site.queries.ask(&site.clock, vm, body, within).await)
    };
    let mut replies: FuturesUnordered<_> = vms.iter().map(|vm| ask_one(*vm)).collect();
    let mut outcome = NotFound::Nobody;
    while let Some((vm, reply)) = replies.next().await {
        match reply {
            Some(Reply::StreamOrigin(OriginReply::Began(origin, age_ms))) => {
                return Ok(Found {
                    origin,
                    by: KnownBy::OtherVm(vm),
                    age: Duration::from_millis(u64::from(age_ms)),
                });
            }
            Some(Reply::StreamOrigin(OriginReply::Conflicting)) => {
                return Err(NotFound::Conflicting);
            }
            Some(Reply::StreamOrigin(OriginReply::Unknown)) => {}
            Some(_) | None => outcome = NotFound::Unanswered,
        }
    }
    Err(outcome)
}

/// Proves what began a stream of a service, if it can only have been one version.
///
/// The list must be so fresh that a version that it doesn't show can't have begun a stream yet: a new endpoint holds no
/// model, and loads one for longer than [`PROOF_LIST_AGE`]. Endpoints of plain services may begin one at once.
pub(crate) fn prove<P>(site: &Site<P>, catalog: &Catalog, rule: &Rule) -> Option<Found>
where
    P: Protocol,
{
    let [share] = rule.shares.as_slice() else {
        return None;
    };
    catalog.engine(&share.service)?;
    let now = site.now();
    let view = site.view();
    let list_age = view.feed_reads.freshness(Feed::Endpoints)?.age(now);
    if list_age > PROOF_LIST_AGE {
        return None;
    }
    let software = view.version_history.only_version(now, &share.service)?;
    Some(Found {
        origin: StreamOrigin {
            service: share.service.clone(),
            software,
        },
        by: KnownBy::OnlyVersion,
        age: list_age,
    })
}

/// Answers another VM's query for the versions that this VM has seen.
pub(crate) fn versions<P>(site: &Site<P>) -> Reply
where
    P: Protocol,
{
    Reply::Versions(versions_seen(site.now(), &site.view()))
}

/// Returns the versions that a VM has seen, for another one.
pub(crate) fn versions_seen(now: Instant, view: &SiteView) -> Option<VersionsSeen> {
    let freshness = view.feed_reads.freshness(Feed::Endpoints)?;
    view.version_history.to_seen(now, freshness.age(now))
}

/// Asks other VMs for the versions that they have seen, until this VM knows all that matter.
pub async fn complete_history<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    loop {
        site.clock.sleep_until(site.now() + HISTORY_EVERY).await;
        let now = site.now();
        let vm = {
            let view = site.view();
            if view.version_history.is_complete(now) {
                continue;
            }
            let here = view.peers.responsive_neighbours(now);
            let all = view.peers.addresses();
            let vm = here
                .choose(&mut rand::rng())
                .or(all.choose(&mut rand::rng()));
            vm.copied()
        };
        let Some(vm) = vm else { continue };
        let asked = site
            .queries
            .ask(&site.clock, vm, QueryBody::Versions, OTHER_ZONES_TIMEOUT);
        if let Some(Reply::Versions(Some(seen))) = asked.await {
            let mut view = site.view();
            view.version_history
                .merge(site.now(), seen, OTHER_ZONES_TIMEOUT);
        }
    }
}

/// Answers another VM's query for what began a stream.
pub(crate) fn answer<P>(site: &Site<P>, stream: StreamTag) -> Reply
where
    P: Protocol,
{
    let now = site.now();
    let known = site.view().stream_origins.get(now, stream);
    Reply::StreamOrigin(match known {
        Known::Nothing => OriginReply::Unknown,
        Known::Conflicting => OriginReply::Conflicting,
        Known::Began { origin, recorded } => {
            let age = now.saturating_duration_since(recorded);
            OriginReply::Began(origin, wire_millis(age))
        }
    })
}

/// Stores what another VM tells of its streams.
pub fn receive<P>(site: &Site<P>, records: Vec<OriginRecord>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    for r in records {
        view.stream_origins.merge(now, r);
    }
}

/// Says which VMs are to be told what began this VM's streams.
#[derive(Debug)]
pub struct OriginSender<P> {
    site: Arc<Site<P>>,
    /// When the owners of the running streams are determined anew.
    check_at: Instant,
}

impl<P> OriginSender<P>
where
    P: Protocol,
{
    /// Creates the sender of a VM that hasn't told anything yet.
    #[must_use]
    pub fn new(site: Arc<Site<P>>) -> Self {
        Self {
            check_at: site.now() + OWNERS_CHECKED_EVERY,
            site,
        }
    }

    /// Waits until there is something to tell, and returns the records by the VM to tell.
    pub async fn next(&mut self) -> Batches {
        let site = &self.site;
        let began = site.stream_began.notified();
        let _checks = site.clock.timeout_at(self.check_at, began).await;
        let now = site.now();
        let mut view = site.view();
        let view = &mut *view;
        let mut batches = view.stream_origins.take_new(now, &view.peers);
        if now >= self.check_at {
            self.check_at = now + OWNERS_CHECKED_EVERY;
            for (vm, records) in view.stream_origins.take_due(now, &view.peers) {
                batches.entry(vm).or_default().extend(records);
            }
        }
        batches
    }
}

/// A stream that a caller may take up later, as one attempt relays it.
#[derive(Clone, Debug)]
pub(crate) struct ResumableStream {
    pub(crate) tag: StreamTag,
    pub(crate) origin: StreamOrigin,
    /// Until when its caller waits for it.
    pub(crate) expires: Instant,
    has_begun: bool,
}

impl ResumableStream {
    pub(crate) fn new(tag: StreamTag, origin: StreamOrigin, expires: Instant) -> Self {
        Self {
            tag,
            origin,
            expires,
            has_begun: false,
        }
    }

    /// Records what began the stream, with the first part that the caller gets.
    pub(crate) fn begin<P>(&mut self, site: &Site<P>)
    where
        P: Protocol,
    {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let now = site.now();
        let mut view = site.view();
        view.stream_origins
            .begin(now, self.tag, self.origin.clone(), self.expires);
        drop(view);
        site.stream_began.notify_one();
    }

    /// Records that the attempt no longer relays the stream.
    pub(crate) fn end<P>(&self, site: &Site<P>)
    where
        P: Protocol,
    {
        if self.has_begun {
            site.view().stream_origins.end(self.tag);
        }
    }
}

/// Logs and counts how it came to be known what began a stream, or why it isn't.
pub(crate) fn log<P>(site: &Site<P>, id: &str, first: &str, found: &Result<Found, NotFound>)
where
    P: Protocol,
{
    let what = match found {
        Ok(Found { by, .. }) => match by {
            KnownBy::ThisVm => "known here",
            KnownBy::OtherVm(_) => "known to another VM",
            KnownBy::OnlyVersion => "the only version",
        },
        Err(NotFound::Nobody) => "known to nobody",
        Err(NotFound::Unanswered) => "no answer",
        Err(NotFound::Conflicting) => "conflicting",
    };
    Metrics::count(&site.metrics.resumptions, what);
    if !may_log() {
        return;
    }
    match found {
        Ok(f) => tracing::info!(
            id,
            first_request = first,
            service = %f.origin.service,
            software = %f.origin.software,
            by = %f.by,
            age_ms = millis(f.age),
            "stream taken up"
        ),
        Err(_) => tracing::info!(id, first_request = first, why = what, "stream not taken up"),
    }
}
