//! The platform's membership list.

use crate::error::Result;
use crate::http::{client, json};
use limehollow::listing::Listed;
use limehollow_wire::platform::Members;

/// The membership list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpMembers {
    client: reqwest::Client,
    url: String,
}

/// The rows that could be read, and how many could not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The rows.
    pub rows: Vec<Listed>,
    /// How many rows were left out because they made no sense.
    pub unreadable: usize,
}

impl HttpMembers {
    /// Makes a client of the service at `IP:PORT`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Call`] if the library can't start.
    pub fn new(address: &str) -> Result<Self> {
        Ok(Self {
            client: client()?,
            url: format!("http://{address}/members"),
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// If the service can't be reached or refuses.
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
