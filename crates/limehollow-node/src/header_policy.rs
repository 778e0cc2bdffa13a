//! Which headers go through the gateway.
//!
//! What a caller may say to an endpoint, and an endpoint to a caller, is the protocol's to know
//! ([`HeaderPolicy`]); what concerns one connection only is the same for every protocol over HTTP.

use crate::edge::HeaderPolicy;
use http::header::{self, HeaderMap, HeaderName};

/// The headers that concern one connection only (RFC 9110, section 7.6.1), and those that the HTTP library
/// writes itself for the message that it sends.
const ONE_CONNECTION: [HeaderName; 9] = [
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

/// Takes out what doesn't go on to the other side.
///
/// What `Connection` names is taken out as well, unless the protocol keeps it: a caller that names the model
/// there would otherwise have another model's answer.
pub fn clean<F>(headers: &mut HeaderMap, policy: F)
where
    F: Fn(&HeaderName) -> HeaderPolicy,
{
    for name in named_by_connection(headers) {
        if policy(&name) != HeaderPolicy::Required {
            headers.remove(name);
        }
    }
    for name in ONE_CONNECTION {
        headers.remove(name);
    }
    let ours = headers
        .keys()
        .filter(|n| policy(n) == HeaderPolicy::Reserved);
    let ours: Vec<HeaderName> = ours.cloned().collect();
    for name in ours {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    // What is no header's name names none.
    words.filter_map(|w| w.trim().parse().ok()).collect()
}
