//! A stand-in of the platform's store: items, ranges and watches, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    events: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (SocketAddr, Store) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Store::default();
        let served = store.clone();
        http::serve(listener, move |request, stream| served.answer(request, stream));
        (address, store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let value = base64(value.as_bytes());
        let event = item(key, &value, revision, created);
        state.items.insert(key.to_owned(), (value, revision, created));
        state.events.push((revision, key.to_owned(), event));
        self.0 .1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
        state.events.push((revision, key.to_owned(), event));
        self.0 .1.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        match request.path() {
            "/azurestand/kv-range" => {
                let state = self.0 .0.lock().unwrap();
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> =
                    found.map(|(key, (value, revision, created))| item(key, value, *revision, *created)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                    found.join(","),
                    state.revision
                );
                drop(state);
                http::reply_json(stream, &body)
            }
            "/azurestand/kv-watch" => {
                let after: u64 = after.parse().unwrap_or(0);
                let wait: u64 = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut state = self.0 .0.lock().unwrap();
                let body = loop {
                    let found = state.events.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let found: Vec<String> = found.map(|(_, _, event)| event.clone()).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        break format!(
                            "{{\"events\":[{}],\"store_revision\":{}}}",
                            found.join(","),
                            state.revision
                        );
                    }
                    state = self.0 .1.wait_timeout(state, left).unwrap().0;
                };
                drop(state);
                http::reply_json(stream, &body)
            }
            _ => http::reply(stream, "404 Not Found", &[], b""),
        }
    }
}

fn item(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(LETTERS[(number >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
