//! What comes back to the control thread from the others.

use limehollow::id::{Incarnation, Offset, VmName};
use limehollow::listing::Observation;
use limehollow::order::SendResult;
use limehollow_edge::admin::DumpRequest;
use limehollow_edge::follow::Batch;
use limehollow_edge::members::Listing;
use limehollow_wire::peer::{Digest, Reply, Request};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A part of the log, or nothing if it could not be read.
    Log(Option<Batch>),
    /// The platform's membership list, or nothing if it could not be read.
    List(Option<Listing>),
    /// A look at an endpoint ended.
    Polled(VmName, Option<Observation>),
    /// A fence ended.
    Fenced(VmName, Offset, Option<Incarnation>),
    /// Sending an order ended.
    Sent(Offset, SendResult),
    /// An append ended: the last offset that it was given, or when it failed.
    Appended(Result<Offset, Instant>),
    /// A peer asks.
    PeerRequest(Request, oneshot::Sender<Reply>),
    /// A peer answered gossip.
    GossipReply(Digest),
    /// A peer gave its state.
    PeerState(Option<(Offset, Box<limehollow::fleet::Fleet>)>),
    /// An operator wants a dump.
    Dump(DumpRequest),
    /// The process is to stop.
    Stop,
}
