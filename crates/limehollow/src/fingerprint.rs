//! Fingerprints that identify what may crash an endpoint: a request that is sent again, or a part of a prompt.
//!
//! A repeated request has a new id, arrives at another VM, and often comes from another address, since callers use
//! several. Its content stays the same, and so does the caller where the protocol names it; the fingerprint is a hash
//! of these. The hash is cryptographic, truncated to 128 bits: a caller who could construct a request with the
//! fingerprint of another caller's request could get the latter rejected (`docs/design/crashing-requests.md`).

use crate::id::ServiceName;
use crate::job::PromptPart;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::fmt;
use std::iter;
use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

/// The length of a fingerprint in bytes.
const LEN: usize = 16;

/// The parts of a request that are hashed.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The caller by the protocol's name for it; empty if the protocol doesn't name the caller.
    pub caller: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path, with the query string if there is one.
    pub path: &'a str,
    /// The full body.
    pub body: &'a [u8],
}

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CauseKind {
    /// A whole request.
    Request,
    /// A part of a prompt that other requests share.
    Part,
}

/// The maximum number of parts of a prompt that are considered; prompts have a few.
const MAX_PARTS: usize = 64;
/// The bit of a fingerprint's first byte that tells parts of prompts from requests.
const PART_BIT: u8 = 0x80;

/// A hash that identifies a request across VMs, request ids and addresses, or a part of prompts across requests.
///
/// ```
/// use limehollow::fingerprint::{Fingerprint, Identity};
///
/// let first = Identity {
///     caller: "a workspace",
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

/// A short hash of a caller's address, by which bounded resources are shared among callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginTag([u8; 4]);

impl From<IpAddr> for OriginTag {
    fn from(address: IpAddr) -> Self {
        let address = match address {
            IpAddr::V4(a) => a.to_ipv6_mapped(),
            IpAddr::V6(a) => a,
        };
        let mut h = blake3::Hasher::new();
        h.update(&address.octets());
        Self(first_bytes(&h))
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut h = blake3::Hasher::new();
        let texts = [
            identity.caller,
            identity.method,
            identity.host,
            identity.path,
        ];
        for t in texts {
            // The length prefix keeps two different sequences of parts from having the same bytes.
            h.update(&(t.len() as u64).to_le_bytes());
            h.update(t.as_bytes());
        }
        h.update(identity.body);
        let mut bytes: [u8; LEN] = first_bytes(&h);
        bytes[0] &= !PART_BIT;
        Self(bytes)
    }

    /// Returns the fingerprint of a part of the prompts of a service's requests.
    #[must_use]
    pub fn of_part(service: &ServiceName, part: u64) -> Self {
        let mut h = blake3::Hasher::new();
        h.update(&part.to_le_bytes());
        h.update(service.as_str().as_bytes());
        let mut bytes: [u8; LEN] = first_bytes(&h);
        bytes[0] |= PART_BIT;
        Self(bytes)
    }

    /// Returns what the fingerprint identifies.
    #[must_use]
    pub fn kind(&self) -> CauseKind {
        if self.0[0] & PART_BIT == 0 {
            CauseKind::Request
        } else {
            CauseKind::Part
        }
    }

    pub(crate) fn as_bytes(&self) -> &[u8; LEN] {
        &self.0
    }
}

/// Returns the first bytes of a hash.
pub(crate) fn first_bytes<const N: usize>(h: &blake3::Hasher) -> [u8; N] {
    let mut out = [0; N];
    h.finalize_xof().fill(&mut out);
    out
}

/// What may be the cause if an endpoint crashes during a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Causes {
    all: Arc<[Fingerprint]>,
    /// Where the request comes from.
    pub origin: OriginTag,
}

impl Causes {
    /// Creates the causes in a request to a service: the request itself, and each part of its prompt but the last, which
    /// belongs to it alone.
    #[must_use]
    pub fn new(
        request: Fingerprint,
        service: &ServiceName,
        parts: &[PromptPart],
        origin: OriginTag,
    ) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().take(MAX_PARTS);
        let shared = shared.map(|p| Fingerprint::of_part(service, p.id));
        Self {
            all: iter::once(request).chain(shared).collect(),
            origin,
        }
    }

    /// Returns the fingerprint of the request.
    #[must_use]
    pub fn request(&self) -> Fingerprint {
        self.all[0]
    }

    /// Returns the causes without one, which is tried.
    #[must_use]
    pub fn without(&self, tried: Fingerprint) -> Self {
        Self {
            all: self.all().filter(|c| *c != tried).collect(),
            origin: self.origin,
        }
    }

    /// Returns all causes, the request first.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        self.all.iter().copied()
    }

    /// Returns the parts of the prompt.
    pub fn parts(&self) -> impl Iterator<Item = Fingerprint> {
        self.all.iter().skip(1).copied()
    }
}

/// An error returned when a text is no valid fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("must be {} hexadecimal digits", 2 * LEN))]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(s: &str) -> Result<Self, ParseFingerprintError> {
        let mut bytes = [0; LEN];
        if s.len() != 2 * LEN || !s.is_ascii() {
            return Err(ParseFingerprintError);
        }
        for (i, b) in bytes.iter_mut().enumerate() {
            let digits = &s[2 * i..2 * i + 2];
            // The cause adds nothing to the error: it says only that a character is no hexadecimal digit.
            *b = u8::from_str_radix(digits, 16)
                .ok()
                .context(ParseFingerprintSnafu)?;
        }
        Ok(Self(bytes))
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
