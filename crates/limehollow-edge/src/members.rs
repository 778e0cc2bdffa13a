//! The client of the platform's membership list.

use crate::error::Result;
use crate::http::{client, json};
use limehollow::listing::Listed;
use limehollow_wire::platform::Members;

/// A client of the membership list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpMembers {
    client: reqwest::Client,
    url: String,
}

/// The membership list: the rows that could be parsed and the number of those that couldn't.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The rows that could be parsed.
    pub rows: Vec<Listed>,
    /// The number of rows that were left out because they couldn't be parsed.
    pub unreadable: usize,
}

impl HttpMembers {
    /// Creates a client of the service at `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Call`] if the HTTP client can't be created.
    pub fn new(address: &str) -> Result<Self> {
        Ok(Self {
            client: client()?,
            url: format!("http://{address}/members"),
        })
    }

    /// Reads the membership list.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or rejects the request.
    pub async fn list(&self) -> Result<Listing> {
        let members: Members = json("membership list", self.client.get(&self.url)).await?;
        let all = members.members.len();
        let rows: Vec<Listed> = members
            .members
            .into_iter()
            .filter_map(|m| Listed::try_from(m).ok())
            .collect();
        let unreadable = all - rows.len();
        Ok(Listing { rows, unreadable })
    }
}
