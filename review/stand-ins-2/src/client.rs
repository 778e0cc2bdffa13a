//! A client of the deployment.

use crate::http::{End, Message, read_body, read_head};
use crate::site::HOST;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How a request ended for its client.
#[derive(Debug)]
pub struct Ended {
    pub answer: Message,
    pub end: End,
}

/// Asks a machine whether it takes clients.
pub fn is_ready(address: &str) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|h| h.status() == 200))
    };
    ask().unwrap_or(false)
}

/// Sends a request on a connection of its own and reads the answer to its end.
pub fn ask(front: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Ended> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n", body.len());
    for (n, v) in headers {
        head.push_str(&format!("{n}: {v}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some(mut answer) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let end = read_body(&mut reader, &mut answer, true);
    Ok(Ended { answer, end })
}

/// A connection that is kept for many requests.
pub struct Kept {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    /// Opens a connection.
    pub fn open(front: &str) -> io::Result<Self> {
        let writer = TcpStream::connect(front)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(30)))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Sends a request without a body and reads its answer.
    pub fn get(&mut self, path: &str, headers: &[(&str, &str)]) -> io::Result<Ended> {
        let mut head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n");
        for (n, v) in headers {
            head.push_str(&format!("{n}: {v}\r\n"));
        }
        head.push_str("\r\n");
        self.writer.write_all(head.as_bytes())?;
        let Some(mut answer) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let end = read_body(&mut self.reader, &mut answer, true);
        Ok(Ended { answer, end })
    }
}
