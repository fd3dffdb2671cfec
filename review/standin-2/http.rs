//! HTTP/1.1 over blocking sockets, as far as the cases need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One message with its headers in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// A value of a request's query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.start.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(decoded(value))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("00");
            plain.push(u8::from_str_radix(hex, 16).unwrap_or(0));
            index += 3;
        } else {
            plain.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// A connection with what was read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        Some(Self::new(stream))
    }

    fn more(&mut self) -> Option<()> {
        let mut part = [0; 65536];
        let count = self.stream.read(&mut part).ok()?;
        self.ahead.extend_from_slice(&part[..count]);
        (count > 0).then_some(())
    }

    /// The head of the next message.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            let found = self.ahead.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.more()?,
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Message { start, headers: headers.collect(), body: Vec::new() })
    }

    /// The next part of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let end = loop {
            match self.ahead.windows(2).position(|part| part == b"\r\n") {
                Some(end) => break end,
                None => self.more()?,
            }
        };
        let size = String::from_utf8_lossy(&self.ahead[..end]).trim().to_owned();
        let size = usize::from_str_radix(&size, 16).ok()?;
        while self.ahead.len() < end + 2 + size + 2 {
            self.more()?;
        }
        let part = self.ahead[end + 2..end + 2 + size].to_vec();
        self.ahead.drain(..end + 2 + size + 2);
        Some(part)
    }

    fn read_length(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.ahead.len() < length {
            self.more()?;
        }
        Some(self.ahead.drain(..length).collect())
    }

    /// The next message with its whole body; none if the channel ends or breaks before.
    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let part = self.read_chunk()?;
                if part.is_empty() {
                    return Some(message);
                }
                message.body.extend(part);
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.read_length(length.unwrap_or(0))?;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn answer(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
        self.write(&response(status, headers, body))
    }
}

/// A whole response with its length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection of `listener` in a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Channel) + Send + Sync + Clone + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Channel::new(stream)));
        }
    });
}
