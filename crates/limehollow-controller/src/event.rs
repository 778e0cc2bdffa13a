//! Events that the other threads send to the control thread.

use limehollow::id::{Incarnation, Offset, VmName};
use limehollow::listing::Observation;
use limehollow::order::SendResult;
use limehollow_edge::admin::DumpRequest;
use limehollow_edge::follow::Batch;
use limehollow_edge::members::Listing;
use limehollow_wire::peer::{Digest, Reply, Request};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A batch of log entries, or `None` if the read failed.
    Log(Option<Batch>),
    /// The platform's membership list, or `None` if the read failed.
    List(Option<Listing>),
    /// A poll of an endpoint ended: its observation, or `None` if the poll failed.
    Polled(VmName, Option<Observation>),
    /// A fence request with this fencing number ended: the endpoint's incarnation, or `None` if the request
    /// failed.
    Fenced(VmName, Offset, Option<Incarnation>),
    /// The attempt to send the order with this number ended.
    Sent(Offset, SendResult),
    /// An append ended: the offset of its last record, or the time at which it failed.
    Appended(Result<Offset, Instant>),
    /// A peer sent a request; the reply goes through the channel.
    PeerRequest(Request, oneshot::Sender<Reply>),
    /// A peer replied to a gossip message.
    GossipReply(Digest),
    /// A request for a peer's state ended: the next offset and the state, or `None` if there is none.
    PeerState(Option<(Offset, Box<limehollow::fleet::Fleet>)>),
    /// An operator requested a dump of the state.
    Dump(DumpRequest),
    /// The process must stop.
    Stop,
}
