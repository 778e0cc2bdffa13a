//! Finds out whether an endpoint has crashed, after a connection to it has ended under a request.

use crate::attempt::{LimitGrant, Target};
use crate::edge::Protocol;
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

/// How long after the end of a connection another one is tried: the ends of its other connections and of its listening arrive
/// at about the same time.
const ASKED_AFTER: Duration = Duration::from_millis(5);
/// How often a connection is tried, and the time between: an endpoint may have no place for one, or be silent for a moment. After
/// that, and where somebody listens, its entry on the platform's list decides.
const ASKS: u32 = 3;
const ASK_AGAIN: Duration = Duration::from_millis(100);
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a request waits at most, before it is sent to another endpoint, until it is known whether the first one has crashed:
/// the way there and back many times, and a tenth of the tightest objective.
const SETTLED_WITHIN: Duration = Duration::from_millis(100);

/// Notes that a connection to an endpoint ended under a request, and finds out why.
///
/// An endpoint that has said that it leaves may end at any time; that is no crash.
pub(crate) fn note_cut_off<P>(site: &Arc<Site<P>>, key: EndpointKey, c: CutOff)
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
    };
    match view.crash_watch.record_cut_off(now, &to.instance, c) {
        Suspicion::New if was_replaced => {
            view.record_crash(now, &to.instance);
        }
        Suspicion::New => drop(tokio::spawn(ask(Arc::clone(site), to))),
        Suspicion::Pending => {}
        Suspicion::Crashed => view.record_suspect(now, &to.instance, c),
    }
}

/// What an attempt to connect says.
enum Finding {
    /// Somebody listens: the endpoint lives, or what is in front of it does.
    Listens,
    /// Nobody listens at the endpoint's address.
    HasCrashed,
    Unclear,
}

/// Connects to an endpoint, until it is clear whether anybody listens there.
async fn ask<P>(site: Arc<Site<P>>, to: Target)
where
    P: Protocol,
{
    let mut pause = ASKED_AFTER;
    for _ in 0..ASKS {
        sleep(pause).await;
        pause = ASK_AGAIN;
        match ask_once(to.address).await {
            Finding::Listens => break,
            Finding::HasCrashed => {
                site.record_crash(&to.instance);
                break;
            }
            Finding::Unclear => {}
        }
    }
    site.view().crash_watch.end_probe(&to.instance);
    site.crash_known.notify_waiters();
}

async fn ask_once(address: SocketAddr) -> Finding {
    match timeout(ASK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_connected)) => Finding::Listens,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Finding::HasCrashed,
        Ok(Err(_)) | Err(_) => Finding::Unclear,
    }
}

/// Waits a little until it is known whether a start of an endpoint has crashed.
pub(crate) async fn settled<P>(site: &Site<P>, instance: &Instance)
where
    P: Protocol,
{
    let told = async {
        loop {
            let crash_known = site.crash_known.notified();
            if !site.view().crash_watch.is_probing(instance) {
                return;
            }
            crash_known.await;
        }
    };
    // Unknown after this time, the request goes on as after any connection that ended.
    let _timed_out = timeout(SETTLED_WITHIN, told).await;
}
