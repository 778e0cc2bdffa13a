//! What makes two requests the same request.
//!
//! A request that is sent again has a new id, comes to another VM, and often from another address: callers stand behind
//! several. What stays is what is asked, and who asks where the protocol names it; these are hashed. The hash is a
//! cryptographic one, cut to 128 bits: a caller who could make two requests of one fingerprint could have those of another
//! caller refused (`docs/design/crashing-requests.md`).

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// The bytes of a fingerprint.
const LEN: usize = 16;

/// What a fingerprint is taken of.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Who asks, as the protocol names it; empty where it names nobody.
    pub caller: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host that is asked.
    pub host: &'a str,
    /// The path, and the query if there is one.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Tells a request from others across VMs, ids and addresses.
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

/// Tells where requests come from, as far as shares of something bounded go: a hash of the caller's address.
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
    /// Takes the fingerprint of a request.
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
            // The length goes first, so that no two parts can stand for two others.
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

fn first_bytes<const N: usize>(h: &blake3::Hasher) -> [u8; N] {
    let mut out = [0; N];
    h.finalize_xof().fill(&mut out);
    out
}

/// A text that is no fingerprint.
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
            // What is wrong with a digit says no more than that it isn't one.
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
