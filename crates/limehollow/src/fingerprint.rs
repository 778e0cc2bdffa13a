//! Fingerprints that identify a request when it is sent again.
//!
//! A repeated request has a new id, arrives at another VM, and often comes from another address, since callers use
//! several. Its content stays the same, and so does the caller where the protocol names it; the fingerprint is a hash
//! of these. The hash is cryptographic, truncated to 128 bits: a caller who could construct a request with the
//! fingerprint of another caller's request could get the latter rejected (`docs/design/crashing-requests.md`).

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

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

/// A hash that identifies a request across VMs, request ids and addresses.
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
        Self(first_bytes(&h))
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
