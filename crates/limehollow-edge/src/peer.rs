//! The socket between limehollow's processes: requests and replies over `nng`.

use crate::error::{ListenSnafu, PeerSnafu, Result};
use anng::protocols::reqrep0::{Rep0, Req0};
use anng::{Message, Socket};
use limehollow_wire::peer::{Reply, Request, decode, encode};
use std::ffi::CString;
use std::io::Write;
use std::time::Duration;

/// The maximum size of a request that is accepted, in bytes.
pub const MAX_MESSAGE: usize = 64 << 20;
const WORKERS: usize = 4;

/// Answers requests at `IP:PORT` for as long as the future is polled.
///
/// # Errors
///
/// Returns [`crate::Error::Listen`] if the address can't be listened on.
pub async fn serve<F, R>(address: &str, handle: F) -> Result<()>
where
    F: Fn(Request) -> R + Send + Sync,
    R: Future<Output = Option<Reply>> + Send,
{
    let url = url(address)?;
    let socket = Rep0::listen(url).await.map_err(|e| {
        ListenSnafu {
            address,
            why: e.to_string(),
        }
        .build()
    })?;
    let loops: [_; WORKERS] = std::array::from_fn(|_| answer(&socket, &handle));
    let [a, b, c, d] = loops;
    tokio::join!(a, b, c, d);
    Ok(())
}

async fn answer<F, R>(socket: &Socket<Rep0>, handle: &F)
where
    F: Fn(Request) -> R,
    R: Future<Output = Option<Reply>>,
{
    let mut cx = socket.context();
    loop {
        let Ok((msg, responder)) = cx.receive().await else {
            // Avoids a busy loop while receiving fails.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if msg.len() > MAX_MESSAGE {
            continue;
        }
        let Ok(req) = decode::<Request>(msg.as_slice()) else {
            continue;
        };
        if let Some(reply) = handle(req).await {
            // The send fails if the peer is gone.
            let _gone = responder.reply(message(&encode(&reply))).await;
        }
    }
}

/// A client of one peer, which reconnects after any failure.
pub struct PeerClient {
    address: String,
    socket: Option<Socket<Req0>>,
}

impl std::fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Creates a client of the peer at `IP:PORT`, which connects at the first request.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            socket: None,
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Peer`] if no reply arrives within the timeout or the reply can't be decoded.
    pub async fn request(&mut self, req: &Request, timeout: Duration) -> Result<Reply> {
        let res = match tokio::time::timeout(timeout, self.try_request(req)).await {
            Ok(res) => res,
            Err(_) => Err(format!("no reply within {} ms", timeout.as_millis())),
        };
        if res.is_err() {
            self.socket = None;
        }
        res.map_err(|why| {
            PeerSnafu {
                address: self.address.clone(),
                why,
            }
            .build()
        })
    }

    async fn try_request(&mut self, req: &Request) -> Result<Reply, String> {
        if self.socket.is_none() {
            let url = url(&self.address).map_err(|e| e.to_string())?;
            self.socket = Some(Req0::dial(url).await.map_err(|e| e.to_string())?);
        }
        let socket = self.socket.as_ref().ok_or("not connected")?;
        let mut cx = socket.context();
        let sent = cx.request(message(&encode(req))).await;
        let reply = match sent {
            Ok(reply) => reply.await.map_err(|e| format!("{e:?}"))?,
            Err((e, _)) => return Err(format!("{e:?}")),
        };
        decode(reply.as_slice()).map_err(|e| e.to_string())
    }
}

fn url(address: &str) -> Result<CString> {
    CString::new(format!("tcp://{address}")).map_err(|e| {
        ListenSnafu {
            address,
            why: e.to_string(),
        }
        .build()
    })
}

fn message(buf: &[u8]) -> Message {
    let mut msg = Message::with_capacity(buf.len());
    // Writing to a message fails only if memory can't be allocated.
    msg.write_all(buf).expect("memory for a message");
    msg
}
