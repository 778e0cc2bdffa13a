//! The process that runs on each entry VM of a site.
//!
//! It accepts callers' requests and forwards them to endpoints, follows the configuration and the list of
//! endpoints, exchanges its state with the other VMs, and on one VM of the site gives orders to the
//! endpoints. The platform's protocols are behind the traits of [`edge`]; the decisions are made in
//! [`limehollow`].
//!
//! # Modules
//!
//! * [`caller`] accepts connections, [`request`] serves one request, `dispatch` sends it to endpoints,
//!   `assignment` chooses the endpoint, [`attempt`] makes one attempt at an endpoint over a connection of
//!   [`pool`], [`relay`] forwards an answer as it comes, and [`header_policy`] decides which headers are
//!   forwarded.
//! * [`connections`] knows which connections of callers are idle, `request_body` reads the bodies of requests, and
//!   [`limehollow_edge::request_memory`] bounds the memory of all of them.
//! * [`keys`] checks callers' keys, [`limits`] the limits of their workspaces, and [`query`] sends queries
//!   to other VMs.
//! * [`endpoint_signals`] applies what endpoints signal about the load that they accept, and
//!   [`limit_grant`] is a request's share of an endpoint's rate limit.
//! * [`slots`] has one VM grant the slots of brittle endpoints.
//! * `retry_delay` says when the caller of a refused request is told to come back.
//! * [`own_delay`] measures how late this VM's tasks get their turn.
//! * `reach` tells whether this VM reaches endpoints at all, and [`pass_on`] passes requests on while it doesn't.
//! * `version_store` keeps the listed versions of the endpoints' software in the platform's store.
//! * [`resumption`] finds out which version of a service's software began a stream that is taken up.
//! * `answer_body` follows the body of an answer to its end, and [`answer_memory`] bounds what is read of it before it is
//!   passed on.
//! * `crash_probe` checks whether an endpoint has crashed, and [`quarantine_sync`] spreads the records of
//!   requests that crash endpoints to all VMs.
//! * [`start`] fetches the site's state when a VM starts.
//! * [`follow`] follows the configuration, the list of endpoints and the list of VMs, [`gossip`] exchanges
//!   messages between VMs, and [`peer_state`] hands what a VM has read to VMs that can't read the store.
//! * [`controller`] moves models and adapters while this VM holds the lease, [`endpoint_report`] reads what endpoints
//!   report to it, and [`outbox`] holds its reports for the other VMs.
//! * [`counting_store`] and [`traffic`] count the calls to the store and the datagrams between VMs.
//! * [`site`] is the state that these tasks share, [`site_view`] the view of the deployment in it,
//!   [`clock`] the time, and [`operator`] the routes for operators. [`run`] starts all tasks.
//!
//! The design and the alternatives are described in `docs/design/system.md`.

pub mod answer;
mod answer_body;
pub mod answer_memory;
pub mod assignment;
pub mod attempt;
pub mod caller;
pub mod clock;
pub mod connections;
pub mod controller;
pub mod counting_store;
mod crash_probe;
mod dispatch;
pub mod edge;
pub mod endpoint_report;
pub mod endpoint_signals;
pub mod feed_reads;
pub mod follow;
mod follower;
pub mod gossip;
mod guarded_body;
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
pub mod own_delay;
pub mod pass_on;
pub mod peer_state;
pub mod pool;
pub mod quarantine_sync;
pub mod query;
mod reach;
mod receiver;
pub mod relay;
pub mod request;
mod request_body;
pub mod resumption;
mod retry_delay;
pub mod run;
mod sender;
pub mod settings;
pub mod site;
pub mod site_view;
pub mod slots;
mod small_server;
pub mod start;
pub mod traffic;
mod unresponsive;
mod version_store;
pub mod waiting;
