//! The platform's store: linearizable, with one revision counter, ranges in pages and watches.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::base64;
use crate::http::{Channel, serve};

const PAGE: usize = 500;

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// Revision, key and text of each change.
    events: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        store.inner.0.lock().unwrap().revision = 10;
        let served = store.clone();
        serve(listener, move |channel| served.handle(channel));
        store
    }

    /// Writes a value; its return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let created = inner.items.get(key).map_or(revision, |known| known.2);
        inner.items.insert(key.to_owned(), (value.as_bytes().to_vec(), revision, created));
        let event = item(key, value.as_bytes(), revision, created);
        inner.events.push((revision, key.to_owned(), event));
        self.inner.1.notify_all();
    }

    fn handle(&self, mut channel: Channel) {
        while let Some(request) = channel.read_message() {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = match request.path() {
                "/azurestand/kv-key" => self.one(&request.query("key").unwrap_or_default()),
                "/azurestand/kv-range" => {
                    let prefix = request.query("prefix").unwrap_or_default();
                    self.range(&prefix, &request.query("after").unwrap_or_default())
                }
                "/azurestand/kv-watch" => {
                    let prefix = request.query("prefix").unwrap_or_default();
                    let after = request.query("after").and_then(|text| text.parse().ok());
                    let wait = request.query("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(&prefix, after.unwrap_or(0), wait.unwrap_or(0))
                }
                _ => ("404 Not Found", String::new()),
            };
            let json = [("content-type", "application/json")];
            if !channel.answer(status, &json, body.as_bytes()) {
                return;
            }
        }
    }

    fn one(&self, key: &str) -> (&'static str, String) {
        let inner = self.inner.0.lock().unwrap();
        match inner.items.get(key) {
            Some((value, revision, created)) => ("200 OK", item(key, value, *revision, *created)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let inner = self.inner.0.lock().unwrap();
        let found = inner.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> =
            found.map(|(key, (value, revision, created))| item(key, value, *revision, *created)).collect();
        let more = found.len() > PAGE;
        let page = found[..found.len().min(PAGE)].join(",");
        let revision = inner.revision;
        ("200 OK", format!("{{\"items\":[{page}],\"has_more\":{more},\"store_revision\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            let later = inner.events.iter();
            let later = later.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let later: Vec<&str> = later.map(|(_, _, text)| text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !later.is_empty() || left.is_zero() {
                let events = later.join(",");
                let revision = inner.revision;
                return ("200 OK", format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
        }
    }
}
