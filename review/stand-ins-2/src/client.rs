//! A client of the deployment.

use crate::http::{End, read_body, read_head};
use crate::site::HOST;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

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

    /// Sends a request without a body, reads its whole answer and returns the status.
    pub fn get(&mut self, path: &str, headers: &[(&str, &str)]) -> io::Result<u16> {
        let mut head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n");
        for (n, v) in headers {
            head.push_str(&format!("{n}: {v}\r\n"));
        }
        head.push_str("\r\n");
        self.writer.write_all(head.as_bytes())?;
        let Some(mut answer) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        match read_body(&mut self.reader, &mut answer, true) {
            End::Complete => Ok(answer.status()),
            End::Broken => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
