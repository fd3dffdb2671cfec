//! A stand-in of a model runner. Streams have `EVENTS` events, one each `pause`; a request with
//! `Last-Event-Id` goes on after it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::http::{self, Request};
use crate::local::Record;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub events: u64,
    pub pause: Duration,
    /// The time until the head of an answer.
    pub first: Duration,
    /// The version of the weights, and how many orders were accepted.
    pub weights: Mutex<(u64, u64)>,
    /// The request that the last order and the staged pieces are for are kept by the case.
    pub running: AtomicU32,
    /// Whether it loads weights.
    pub busy: AtomicBool,
    pub record: Record,
}

impl Runner {
    pub fn new(id: &str, address: SocketAddr, events: u64, pause_ms: u64, first_ms: u64, born: u64, record: Record) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address,
            born,
            events,
            pause: Duration::from_millis(pause_ms),
            first: Duration::from_millis(first_ms),
            weights: Mutex::new((1, 0)),
            running: AtomicU32::new(0),
            busy: AtomicBool::new(false),
            record,
        })
    }

    /// Answers what every runner answers.
    pub fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        match request.path() {
            "/azurestand/report" => {
                let (version, seq) = *self.weights.lock().unwrap();
                let running = self.running.load(Ordering::Relaxed);
                let busy = self.busy.load(Ordering::Relaxed);
                http::reply_json(
                    stream,
                    &format!(
                        r#"{{"stage":"unified","models":[{{"name":"m0","version":{version},"adapters":[]}}],"layers":{{"from":0,"to":16,"version":{version}}},"busy":{busy},"seq":{seq},"queue_depth":0,"in_flight":{running},"kv_used":0,"kv_total":1640000,"handles":0,"pace":1.0,"born":{}}}"#,
                        self.born
                    ),
                )
            }
            "/health" => http::reply(stream, "200 OK", &[("X-Instance-Id", &self.id)], b""),
            _ => self.run(request, stream),
        }
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let name = request.header("x-request-id").to_owned();
        let expected = request.header("x-expect-instance");
        let version = self.weights.lock().unwrap().0;
        let wanted = request.header("x-expect-version");
        if expected != self.id && !expected.is_empty() || !wanted.is_empty() && wanted != version.to_string() {
            self.record.line(&format!("runner {} refuses {name} with 421", self.id));
            let headers = [("X-Request-Id", name.as_str()), ("X-Not-Executed", "1")];
            return http::reply(stream, "421 Misdirected Request", &headers, b"");
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(&format!("runner {} runs {name} {} after event {after}", self.id, request.path()));
        self.running.fetch_add(1, Ordering::Relaxed);
        sleep(self.first);
        let result = if request.path().starts_with("/tell/") {
            self.tell(&name, version, after, stream)
        } else {
            // A lookup takes one pause.
            sleep(self.pause);
            let headers = [("X-Request-Id", name.as_str()), ("X-Response-Seal", "seal.1")];
            http::reply(stream, "200 OK", &headers, b"a lookup")
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        match &result {
            Ok(_) => self.record.line(&format!("runner {} ended {name}", self.id)),
            Err(error) => self.record.line(&format!("runner {} was cut off from {name}: {error}", self.id)),
        }
        result
    }

    fn tell(&self, name: &str, version: u64, after: u64, stream: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {name}\r\n\
             X-Response-Seal: seal.1\r\nX-Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.events {
            let event = format!("id: {number}\ndata: words {number} of {}\n\n", self.events);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            if number < self.events {
                sleep(self.pause);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// A runner as a process of its own: RECORD ID ADDRESS EVENTS PAUSE_MS BORN [FIRST_MS].
pub fn run(args: &[String]) {
    let record = Record::append(Path::new(&args[0]));
    let address: SocketAddr = args[2].parse().unwrap();
    let number = |index: usize| args[index].parse::<u64>().unwrap();
    let first = if args.len() > 6 { number(6) } else { 0 };
    let runner = Runner::new(&args[1], address, number(3), number(4), first, number(5), record);
    let listener = TcpListener::bind(address).unwrap();
    runner.record.line(&format!("runner {} listens", runner.id));
    http::serve(listener, move |request, stream| runner.answer(request, stream));
    loop {
        sleep(Duration::from_secs(60));
    }
}
