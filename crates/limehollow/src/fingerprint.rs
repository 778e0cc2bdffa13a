//! What makes two requests the same request.
//!
//! A request that is sent again has a new id, and may come to another VM. What stays is who sends it, and what is asked:
//! so these are hashed. The hash is a cryptographic one, cut to 128 bits: a caller who could make two requests of one
//! fingerprint could have the requests of another caller refused (`docs/design/crashing-requests.md`).

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::IpAddr;

/// The bytes of a fingerprint.
const LEN: usize = 16;

/// What a fingerprint is taken of.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Where the caller's connection comes from; its port is another one each time.
    pub caller: IpAddr,
    /// The method.
    pub method: &'a str,
    /// The host that is asked.
    pub host: &'a str,
    /// The path, and the query if there is one.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Tells a request from others across VMs and ids.
///
/// ```
/// use limehollow::fingerprint::{Fingerprint, Identity};
///
/// let first = Identity {
///     caller: [10, 0, 0, 1].into(),
///     method: "POST",
///     host: "portal.example",
///     path: "/draft/",
///     body: b"a statement",
/// };
/// let other = Identity { body: b"another one", ..first };
/// assert_eq!(Fingerprint::of(&first), Fingerprint::of(&first));
/// assert_ne!(Fingerprint::of(&first), Fingerprint::of(&other));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; LEN]);

impl Fingerprint {
    /// Takes the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut h = blake3::Hasher::new();
        let caller = match identity.caller {
            IpAddr::V4(a) => a.to_ipv6_mapped(),
            IpAddr::V6(a) => a,
        };
        h.update(&caller.octets());
        for t in [identity.method, identity.host, identity.path] {
            // The length goes first, so that no two parts can stand for two others.
            h.update(&(t.len() as u64).to_le_bytes());
            h.update(t.as_bytes());
        }
        h.update(identity.body);
        let mut out = [0; LEN];
        h.finalize_xof().fill(&mut out);
        Self(out)
    }
}

impl From<[u8; LEN]> for Fingerprint {
    fn from(bytes: [u8; LEN]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
