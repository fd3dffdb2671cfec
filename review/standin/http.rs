//! A small HTTP/1.1 server and the reading of messages.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The first line and the headers of a message; none at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(from)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let length = headers.get("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Serves each connection in a thread of its own; `answer` writes the whole answer and returns
/// whether the connection goes on.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    match answer(&request, &mut writer) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn reply(to: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)?;
    Ok(true)
}

pub fn reply_json(to: &mut TcpStream, body: &str) -> io::Result<bool> {
    reply(to, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
}

/// One call on a connection of its own; the status, 0 without an answer, and the body.
pub fn call(address: SocketAddr, text: &str) -> (u16, Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (0, Vec::new());
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    if stream.write_all(text.as_bytes()).is_err() {
        return (0, Vec::new());
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some((first, headers))) = read_head(&mut reader) else {
        return (0, Vec::new());
    };
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let length = headers.get("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    let _ = reader.read_exact(&mut body);
    (status, body)
}

/// How a chunked answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With its last chunk: it is whole.
    Complete,
    /// The connection ended first.
    Broken,
    /// Nothing came for the read timeout.
    Silent,
}

/// Reads a chunked body; `seen` gets each chunk's bytes.
pub fn read_chunks(from: &mut impl BufRead, mut seen: impl FnMut(&[u8])) -> End {
    let end = |error: &io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silent,
        _ => End::Broken,
    };
    loop {
        let mut line = String::new();
        match from.read_line(&mut line) {
            Ok(0) => return End::Broken,
            Ok(_) => {}
            Err(error) => return end(&error),
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return End::Broken;
        };
        let mut chunk = vec![0; length + 2];
        if let Err(error) = from.read_exact(&mut chunk) {
            return end(&error);
        }
        if length == 0 {
            return End::Complete;
        }
        seen(&chunk[..length]);
    }
}
