//! The operations that an operator can perform at the administration port of a process.

use crate::edge::Protocol;
use crate::site::Site;
use limehollow::fingerprint::Fingerprint;
use poem::endpoint::make_sync;
use poem::http::StatusCode;
use poem::{IntoEndpoint, Request, Route, delete};
use std::sync::Arc;

/// Returns the routes: `DELETE /quarantine/REQUEST` removes a request from quarantine on all VMs.
#[must_use]
pub fn routes<P>(site: &Arc<Site<P>>) -> Route
where
    P: Protocol,
{
    let site = Arc::clone(site);
    let clear = make_sync(move |req: Request| clear(&site, &req));
    Route::new().at("/quarantine/:request", delete(clear.into_endpoint()))
}

fn clear<P>(site: &Site<P>, req: &Request) -> (StatusCode, String)
where
    P: Protocol,
{
    let request = req.path_params::<String>().unwrap_or_default();
    match request.parse::<Fingerprint>() {
        Ok(f) if site.clear_request(f, "an operator") => (StatusCode::OK, "cleared\n".to_owned()),
        Ok(f) => (
            StatusCode::NOT_FOUND,
            format!("nothing speaks against {f}\n"),
        ),
        Err(e) => (StatusCode::BAD_REQUEST, format!("request: {e}\n")),
    }
}
