//! HTTP/1.1 as far as the stand-ins need it, over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head of a message, and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head<R: BufRead>(from: &mut R) -> io::Result<Option<Message>> {
    let mut m = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    m.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let row = line.trim_end();
        if row.is_empty() {
            return Ok(Some(m));
        }
        if let Some((n, v)) = row.split_once(':') {
            m.headers
                .push((n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        }
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its framing says that it is whole.
    Complete,
    /// The connection ended before that.
    Broken,
}

/// Reads a body into the message. A body without length or chunks ends with its connection.
pub fn read_body<R: BufRead>(from: &mut R, m: &mut Message, is_answer: bool) -> End {
    let chunked = m
        .header("transfer-encoding")
        .is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked"));
    let length = m.header("content-length").and_then(|v| v.parse().ok());
    let read = if chunked {
        read_chunks(from, &mut m.body)
    } else if let Some(n) = length {
        read_length(from, &mut m.body, n)
    } else if is_answer {
        from.read_to_end(&mut m.body).map(|_| ())
    } else {
        Ok(())
    };
    if read.is_ok() {
        End::Complete
    } else {
        End::Broken
    }
}

fn read_length<R: BufRead>(from: &mut R, to: &mut Vec<u8>, n: usize) -> io::Result<()> {
    let before = to.len();
    from.by_ref().take(n as u64).read_to_end(to)?;
    if to.len() - before == n {
        Ok(())
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

fn read_chunks<R: BufRead>(from: &mut R, to: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or("");
        let n = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        if n > 0 {
            read_length(from, to, n)?;
        }
        let mut end = String::new();
        from.read_line(&mut end)?;
        if end != "\r\n" {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if n == 0 {
            return Ok(());
        }
    }
}

/// Serves requests on a connection until it ends. The handler answers each, or says that the connection ends.
pub fn serve<F>(stream: TcpStream, mut handler: F)
where
    F: FnMut(Message, &mut TcpStream) -> io::Result<bool>,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut req)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut req, false) == End::Broken {
            return;
        }
        match handler(req, &mut writer) {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

/// Writes a whole answer.
pub fn answer(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (n, v) in headers {
        out.push_str(&format!("{n}: {v}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Returns the text or number of a field of a flat JSON object.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = text[at..].trim_start().strip_prefix(':')?.trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next().map(str::to_owned);
    }
    let end = rest
        .find(|c: char| !(c.is_ascii_alphanumeric() || c == '.' || c == '-'))
        .unwrap_or(rest.len());
    Some(rest[..end].to_owned())
}
