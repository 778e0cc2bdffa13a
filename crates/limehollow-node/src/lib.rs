//! The process that runs on each entry VM of a site.
//!
//! It takes callers' requests and forwards them, follows the configuration and the list of endpoints,
//! tells the other VMs what it has, and on one VM of the site gives orders to the endpoints. What the
//! platform speaks is behind the traits of [`edge`]; what has to hold is decided in [`limehollow`].
//!
//! # A short tour
//!
//! * [`caller`] accepts connections, [`request`] is the life of one request, `dispatch` its way to endpoints, `assignment` which one it goes to, [`attempt`] one
//!   try at an endpoint over a connection of [`pool`], [`relay`] a streamed answer, [`header_policy`] which headers go through.
//! * [`keys`] says which requests may go on by their caller's key, [`limits`] whether their workspace's limit allows it, and
//!   [`query`] is how VMs ask each other.
//! * [`endpoint_signals`] takes in what endpoints say of what they want to be sent, and [`limit_grant`] is a request's part of an endpoint's limit.
//! * `crash_probe` finds out whether an endpoint has crashed, and [`quarantine_sync`] has all VMs know which requests do that.
//! * [`start`] is how a VM gets to know the site.
//! * [`follow`] keeps configuration and list up to date, [`gossip`] what VMs tell each other, [`peer_state`]
//!   what one has read that another can't.
//! * [`controller`] moves models and adapters while this VM holds the lease; [`outbox`] has what it then tells.
//! * [`counting_store`] and [`traffic`] count what the store and the other VMs are asked and told.
//! * [`site`] is the state that they share, [`site_view`] what is known in it, [`clock`] the time, [`operator`] what operators can tell;
//!   [`run`] puts all together.
//!
//! The design and what was weighed are in `docs/design/system.md`.

pub mod answer;
mod assignment;
pub mod attempt;
pub mod caller;
pub mod clock;
pub mod controller;
pub mod counting_store;
mod crash_probe;
mod dispatch;
pub mod edge;
pub mod endpoint_signals;
pub mod feed_reads;
pub mod follow;
mod follower;
pub mod gossip;
pub mod header_policy;
pub mod keys;
pub mod lease;
pub mod limit_grant;
pub mod limits;
mod list;
pub mod logging;
pub mod metrics;
pub mod operator;
mod order_task;
pub mod outbox;
pub mod peer_state;
pub mod pool;
pub mod quarantine_sync;
pub mod query;
mod receiver;
pub mod relay;
pub mod request;
pub mod run;
mod sender;
pub mod settings;
pub mod site;
pub mod site_view;
mod small_server;
pub mod start;
pub mod traffic;
mod unresponsive;
