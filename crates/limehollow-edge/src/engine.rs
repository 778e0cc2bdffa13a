//! The client with which a controller polls, fences and sends orders to endpoints.

use crate::error::{Error, Result};
use crate::http::{client, json};
use limehollow::id::{Incarnation, Offset, VmName};
use limehollow::listing::Observation;
use limehollow::order::{Order, SendResult};
use limehollow_wire::engine::{Fence, Fenced, State, WireOrder};
use tokio::time::Instant;

/// A client of endpoints over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEndpoints {
    client: reqwest::Client,
}

impl HttpEndpoints {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Call`] if the HTTP client can't be created.
    pub fn new() -> Result<Self> {
        Ok(Self { client: client()? })
    }

    /// Reads an endpoint's state.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint doesn't answer, answers with a failure or the answer is malformed.
    pub async fn poll(&self, endpoint: &VmName, address: &str) -> Result<Observation> {
        let began = Instant::now();
        let req = self.client.get(format!("http://{address}/state"));
        let state: State = json("endpoint state", req).await?;
        Ok(state.into_observation(endpoint, began))
    }

    /// Makes an endpoint refuse orders with a lower number than `number`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint doesn't answer or has received a higher number.
    pub async fn fence(&self, address: &str, number: Offset) -> Result<Incarnation> {
        let req = self.client.post(format!("http://{address}/fence"));
        let fenced: Fenced = json("fence", req.json(&Fence { number: number.0 })).await?;
        Ok(fenced.incarnation)
    }

    /// Sends an order to its endpoint.
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
