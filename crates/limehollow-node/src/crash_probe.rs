//! Probes whether an endpoint has crashed, after a connection to it ended while a request was running.
//!
//! A refused connection shows a crash only if this VM reaches another endpoint.

use crate::attempt::{LimitGrant, Target};
use crate::edge::Protocol;
use crate::pool::ConnectError;
use crate::reach;
use crate::site::Site;
use crate::site_view::SiteView;
use limehollow::crash_watch::{CutOff, Suspicion};
use limehollow::id::EndpointKey;
use limehollow::instance::Instance;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The delay between the end of a connection and the first probe: when an endpoint crashes, the ends of its other
/// connections and of its listening socket are seen at about the same time.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(5);
/// The maximum number of probes: an endpoint may have no capacity for a connection, or not respond for a moment. After
/// these, and if a process listens, its entry on the platform's list decides.
const PROBES: u32 = 3;
/// The delay between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum time that a request waits for the result of the probe before it is sent to another endpoint: many round
/// trips, and a tenth of the shortest objective.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Records that a connection to an endpoint ended while a request was running, and probes whether the endpoint crashed.
///
/// An endpoint that has announced that it leaves may exit at any time; that is no crash.
pub(crate) fn on_cut_off<P>(site: &Arc<Site<P>>, key: EndpointKey, c: CutOff)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let view: &mut SiteView = &mut view;
    let Some(e) = view.roster.get(key) else {
        return;
    };
    let was_replaced = view.gone.contains_key(&e.instance);
    if e.leaving && !was_replaced {
        return;
    }
    let to = Target {
        key,
        instance: e.instance.clone(),
        address: e.address,
        grant: LimitGrant::Exempt,
        slot: None,
        causes: None,
    };
    match view.crash_watch.record_cut_off(now, &to.instance, c) {
        Suspicion::New if was_replaced => {
            view.record_crash(now, &to.instance);
        }
        Suspicion::New => drop(tokio::spawn(probe(Arc::clone(site), to))),
        Suspicion::Pending => {}
        Suspicion::Crashed => view.record_suspect(now, &to.instance, c),
    }
}

/// Records that an endpoint refused a connection: if requests were interrupted there, it has crashed, unless it is this VM
/// that reaches no endpoint.
pub(crate) fn on_refused<P>(site: &Arc<Site<P>>, to: &Target)
where
    P: Protocol,
{
    if !site.view().crash_watch.is_watched(&to.instance) {
        return;
    }
    let (site, to) = (Arc::clone(site), to.clone());
    tokio::spawn(async move {
        if reach::is_sound(&site, to.key).await {
            site.record_crash(&to.instance);
            site.crash_known.notify_waiters();
        }
    });
}

/// The result of one attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// A process listens: the endpoint is alive, or a proxy in front of it is.
    Listens,
    /// No process listens at the endpoint's address.
    HasCrashed,
    /// There was no answer in time, or another error.
    Unclear,
}

/// Tries to connect to an endpoint until it is clear whether a process listens there.
async fn probe<P>(site: Arc<Site<P>>, to: Target)
where
    P: Protocol,
{
    let mut pause = FIRST_PROBE_DELAY;
    for _ in 0..PROBES {
        sleep(pause).await;
        pause = PROBE_INTERVAL;
        match probe_once(to.address).await {
            Finding::Listens => break,
            Finding::HasCrashed => {
                if reach::is_sound(&site, to.key).await {
                    site.record_crash(&to.instance);
                }
                break;
            }
            Finding::Unclear => {}
        }
    }
    site.view().crash_watch.end_probe(&to.instance);
    site.crash_known.notify_waiters();
}

async fn probe_once(address: SocketAddr) -> Finding {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_connected)) => Finding::Listens,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Finding::HasCrashed,
        Ok(Err(_)) | Err(_) => Finding::Unclear,
    }
}

/// Finds out whether an endpoint has crashed whose answer ended with its connection.
///
/// The new connection is kept for the next request, which would have to open it anyway.
pub(crate) async fn after_unframed_answer<P>(site: Arc<Site<P>>, key: EndpointKey) -> Finding
where
    P: Protocol,
{
    let address = {
        let view = site.view();
        let Some(e) = view.roster.get(key) else {
            return Finding::Unclear;
        };
        if view.gone.contains_key(&e.instance) {
            return Finding::HasCrashed;
        }
        if e.leaving {
            return Finding::Unclear;
        }
        e.address
    };
    sleep(FIRST_PROBE_DELAY).await;
    match timeout(MAX_WAIT, reach::open(&site, &site.pool, key, address)).await {
        Ok(Ok(c)) => {
            site.pool.put_in_background(c, None);
            Finding::Listens
        }
        Ok(Err(ConnectError::Io { source }))
            if source.kind() == ErrorKind::ConnectionRefused
                && reach::is_sound(&site, key).await =>
        {
            Finding::HasCrashed
        }
        Ok(Err(_)) | Err(_) => Finding::Unclear,
    }
}

/// Waits until it is known whether an instance of an endpoint has crashed, at most for [`MAX_WAIT`].
pub(crate) async fn wait_for_result<P>(site: &Site<P>, instance: &Instance)
where
    P: Protocol,
{
    let probed = async {
        loop {
            let crash_known = site.crash_known.notified();
            if !site.view().crash_watch.is_probing(instance) {
                return;
            }
            crash_known.await;
        }
    };
    // After the timeout the request is retried as after any connection that ended.
    let _timed_out = timeout(MAX_WAIT, probed).await;
}
