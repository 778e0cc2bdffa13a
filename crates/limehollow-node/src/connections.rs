//! The connections of callers, and which of them are closed when there are too many.
//!
//! Connections with a request under way stay. Each of the others is left alone for as long as the head of a request may take
//! (`docs/design/callers.md`).

use crate::clock::Clock;
use slotmap::{SlotMap, new_key_type};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

new_key_type! {
    struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request has come since it was accepted.
    New { since: Instant },
    /// A request is under way.
    Busy,
    /// The last request has ended.
    AtRest { since: Instant },
    /// It has been told to close.
    Closing(Idle),
}

/// A connection without a request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idle {
    /// No request has come on it yet.
    New,
    /// Its last request has ended.
    AtRest,
}

impl Phase {
    /// Returns since when the connection is idle in this way.
    fn since(self, idle: Idle) -> Option<Instant> {
        match (self, idle) {
            (Self::New { since }, Idle::New) | (Self::AtRest { since }, Idle::AtRest) => {
                Some(since)
            }
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    close: Arc<Notify>,
}

/// The open connections of callers.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    entries: Arc<Mutex<SlotMap<ConnectionKey, Entry>>>,
}

impl Connections {
    /// Adds a connection that was accepted now.
    #[must_use]
    pub fn add(&self, now: Instant) -> OpenConnection {
        let close = Arc::new(Notify::new());
        let key = self.lock().insert(Entry {
            phase: Phase::New { since: now },
            close: Arc::clone(&close),
        });
        OpenConnection {
            connections: self.clone(),
            key,
            close,
        }
    }

    /// Tells the connection to close that has been idle in this way for longest, if that is at least `min`. Returns whether
    /// there was one.
    #[must_use]
    pub fn close_one(&self, idle: Idle, now: Instant, min: Duration) -> bool {
        let mut entries = self.lock();
        let since = entries
            .values_mut()
            .filter_map(|e| Some((e.phase.since(idle)?, e)));
        let longest = since.min_by_key(|(since, _)| *since);
        let Some((_, e)) = longest.filter(|(t, _)| now.saturating_duration_since(*t) >= min) else {
            return false;
        };
        e.phase = Phase::Closing(idle);
        e.close.notify_one();
        true
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Entry>> {
        // The entries are complete between any two statements.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, key: ConnectionKey, phase: Phase) {
        if let Some(e) = self.lock().get_mut(key) {
            e.phase = phase;
        }
    }
}

/// An open connection, which is removed on drop.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    close: Arc<Notify>,
}

impl OpenConnection {
    /// Marks the connection as busy until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(&self, clock: Arc<Clock>) -> BusyConnection {
        self.connections.set(self.key, Phase::Busy);
        BusyConnection {
            connections: self.connections.clone(),
            key: self.key,
            clock,
        }
    }

    /// Waits until the connection is told to close while no request is under way, and returns in which way it is idle.
    pub async fn told_to_close(&self) -> Idle {
        loop {
            self.close.notified().await;
            // A request may have begun since.
            let entries = self.connections.lock();
            if let Some(Phase::Closing(idle)) = entries.get(self.key).map(|e| e.phase) {
                return idle;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}

/// A request on a connection, which is at rest once this is dropped.
#[derive(Debug)]
pub struct BusyConnection {
    connections: Connections,
    key: ConnectionKey,
    clock: Arc<Clock>,
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        let since = self.clock.now();
        self.connections.set(self.key, Phase::AtRest { since });
    }
}
