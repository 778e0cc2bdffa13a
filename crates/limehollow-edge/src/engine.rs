//! Endpoints, as a controller talks to them.

use crate::error::{Error, Result};
use crate::http::{client, json};
use limehollow::id::{Incarnation, Offset, VmName};
use limehollow::listing::Observation;
use limehollow::order::{Order, SendResult};
use limehollow_wire::engine::{Fence, Fenced, State, WireOrder};
use tokio::time::Instant;

/// Endpoints over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEndpoints {
    client: reqwest::Client,
}

impl HttpEndpoints {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Call`] if the library can't start.
    pub fn new() -> Result<Self> {
        Ok(Self { client: client()? })
    }

    /// Looks at an endpoint.
    ///
    /// # Errors
    ///
    /// If it does not answer, or not as it should.
    pub async fn look(&self, endpoint: &VmName, address: &str) -> Result<Observation> {
        let began = Instant::now();
        let req = self.client.get(format!("http://{address}/state"));
        let state: State = json("endpoint state", req).await?;
        Ok(state.into_observation(endpoint, began))
    }

    /// Tells an endpoint to refuse orders with a lower number.
    ///
    /// # Errors
    ///
    /// If it does not answer, or has been told a higher number.
    pub async fn fence(&self, address: &str, number: Offset) -> Result<Incarnation> {
        let req = self.client.post(format!("http://{address}/fence"));
        let fenced: Fenced = json("fence", req.json(&Fence { number: number.0 })).await?;
        Ok(fenced.incarnation)
    }

    /// Sends an order.
    pub async fn send(&self, order: &Order) -> SendResult {
        let url = format!("http://{}/orders", order.address);
        let req = self.client.post(url).json(&WireOrder::from(order));
        match json::<serde_json::Value>("order", req).await {
            Ok(_) => SendResult::Accepted,
            Err(Error::Connect { .. }) => SendResult::NeverSent,
            Err(Error::Status {
                status: 400..=499, ..
            }) => SendResult::Refused,
            Err(_) => SendResult::Lost,
        }
    }
}
