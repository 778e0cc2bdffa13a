//! Removes the headers that the gateway doesn't forward.
//!
//! Which headers a caller may send to an endpoint, and an endpoint to a caller, is up to the protocol
//! ([`HeaderPolicy`]). Hop-by-hop headers are the same for every protocol over HTTP.

use crate::edge::HeaderPolicy;
use http::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and those that hyper writes itself for the message that it sends.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that aren't forwarded to the other side.
///
/// Headers that `Connection` names are removed as well, unless the protocol requires them: otherwise a caller that
/// names the model's header there would get another model's answer.
pub fn clean<F>(headers: &mut HeaderMap, policy: F)
where
    F: Fn(&HeaderName) -> HeaderPolicy,
{
    for name in named_by_connection(headers) {
        if policy(&name) != HeaderPolicy::Required {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    let reserved = headers
        .keys()
        .filter(|n| policy(n) == HeaderPolicy::Reserved);
    let reserved: Vec<HeaderName> = reserved.cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let tokens = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    // A token that isn't a valid header name can't name a header.
    tokens.filter_map(|w| w.trim().parse().ok()).collect()
}
