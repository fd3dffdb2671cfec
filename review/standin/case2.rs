//! Case 2: one answer of the origin of weights, the list of a version's digests, arrives with a
//! block of bytes spoilt.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{self, read_chunks, read_head, End};
use crate::local::{self, event_ids, listed, unix_ms, Local, Record, CHUNKS};
use crate::runner::Runner;
use crate::sha256;
use crate::store::Store;

const ENTRY: &str = "127.0.0.90";
const SIDE: &str = "127.0.0.91";
const ORIGIN: &str = "127.0.0.92";
const EVENTS: u64 = 6;
/// The digests from this one on are in the spoilt block, whose bytes arrive as blanks.
const LEFT: usize = 90;

fn piece(version: u64, number: usize) -> Vec<u8> {
    let word = format!("piece {number} of version {version}. ");
    word.bytes().cycle().take(4_096).collect()
}

/// The staged pieces, and those that the loaded weights were taken from and that were not of
/// their version.
#[derive(Default)]
struct Disk {
    pieces: BTreeMap<usize, Vec<u8>>,
    taken_wrong: Vec<usize>,
}

pub fn run(record: Record, trouble: bool) -> Result<bool, String> {
    let (address, store) = Store::start();
    let local = Local::new(address, &[ENTRY, SIDE, ORIGIN]);

    let origin = local.app(ORIGIN);
    let origin_record = record.clone();
    let has_spoilt = AtomicBool::new(false);
    http::serve(TcpListener::bind(origin).map_err(|error| error.to_string())?, move |request, stream| {
        let version = request.query("version").and_then(|text| text.parse().ok()).unwrap_or(2);
        if request.path() == "/azurestand/manifest/m0" {
            let digests: Vec<String> =
                (0..CHUNKS).map(|number| format!("\"{}\"", sha256::hex(&piece(version, number)))).collect();
            let (sound, block) = (digests[..LEFT].join(","), format!(",{}", digests[LEFT..].join(",")));
            let is_spoilt = trouble && version == 2 && !has_spoilt.swap(true, Ordering::Relaxed);
            let block = if is_spoilt { " ".repeat(block.len()) } else { block };
            origin_record.line(&format!("the origin sends the digests of version {version}; spoilt: {is_spoilt}"));
            return http::reply_json(
                stream,
                &format!(
                    "{{\"model\":\"m0\",\"version\":{version},\"chunk_bytes\":4096,\"layers\":16,\"digests\":[{sound}{block}]}}"
                ),
            );
        }
        let number = request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
        http::reply(stream, "200 OK", &[], &piece(version, number))
    });

    let runner = Runner::new("i-llm", local.app(SIDE), EVENTS, 40, 0, unix_ms(), record.clone());
    let disk = Arc::new(Mutex::new(Disk::default()));
    disk.lock().unwrap().pieces = (0..CHUNKS).map(|number| (number, piece(1, number))).collect();
    let (served, served_disk, served_record) = (runner.clone(), disk.clone(), record.clone());
    http::serve(TcpListener::bind(runner.address).map_err(|error| error.to_string())?, move |request, stream| {
        let number = || request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
        match request.path() {
            "/azurestand/stage-put/m0" => {
                let mut disk = served_disk.lock().unwrap();
                disk.pieces.insert(number(), request.body.clone());
                drop(disk);
                http::reply(stream, "200 OK", &[], b"")
            }
            "/azurestand/stage-get/m0" => match served_disk.lock().unwrap().pieces.get(&number()) {
                Some(piece) => http::reply(stream, "200 OK", &[], piece),
                None => http::reply(stream, "404 Not Found", &[], b""),
            },
            "/azurestand/order" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let version = body.split("\"version\":").nth(1).and_then(|text| {
                    text.split(|c: char| !c.is_ascii_digit()).next().and_then(|digits| digits.parse::<u64>().ok())
                });
                let version = version.unwrap_or(0);
                                let mut weights = served.weights.lock().unwrap();
                let expected = format!("\"precondition\":{}", weights.1);
                if served.busy.load(Ordering::Relaxed) || !body.contains(&expected) {
                    served_record.line(&format!("runner refuses {body} with 409"));
                    return http::reply(stream, "409 Conflict", &[], b"");
                }
                weights.1 += 1;
                served.busy.store(true, Ordering::Relaxed);
                drop(weights);
                let mut disk = served_disk.lock().unwrap();
                disk.taken_wrong =
                    (0..CHUNKS).filter(|number| disk.pieces.get(number) != Some(&piece(version, *number))).collect();
                served_record.line(&format!(
                    "runner accepts {body}; staged pieces that aren't of that version: {:?}",
                    disk.taken_wrong
                ));
                drop(disk);
                let runner = served.clone();
                spawn(move || {
                    sleep(Duration::from_millis(300));
                    runner.weights.lock().unwrap().0 = version;
                    runner.busy.store(false, Ordering::Relaxed);
                });
                http::reply(stream, "202 Accepted", &[], b"")
            }
            _ => served.answer(request, stream),
        }
    });

    let version_listed = |version, seq| listed("llm", runner.address, "north", runner.born, seq, version);
    store.put("op/config", &local::config(Some(origin)));
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":1}");
    store.put("servers/i-llm", &version_listed(1, 1));
    let _agent = local.agent("side-1", SIDE, "north");
    let _entry = local.entry("front-1", ENTRY, "north");
    local.wait_ready(ENTRY)?;
    sleep(Duration::from_millis(3_000));

    record.line("the operator names version 2");
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    let until = Instant::now() + Duration::from_secs(10);
    while runner.weights.lock().unwrap().0 != 2 {
        if Instant::now() > until {
            // Nothing was loaded: no token is made from bad pieces.
            record.line("version 2 was not loaded");
            return if trouble { Ok(true) } else { Err("version 2 was not loaded".to_owned()) };
        }
        sleep(Duration::from_millis(10));
    }
    record.line("the runner has loaded version 2");
    store.put("servers/i-llm", &version_listed(2, 2));
    sleep(Duration::from_millis(1_000));

    let mut stream = TcpStream::connect(local.front(ENTRY)).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
    record.line("client sends c2a0e1d2");
    stream.write_all(local::stream_request("c2a0e1d2", 6_000).as_bytes()).map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).map_err(|error| error.to_string())?.ok_or("no answer")?;
    let mut ids = Vec::new();
    let end = read_chunks(&mut reader, |bytes| ids.extend(event_ids(bytes)));
    let version = headers.get("x-weight-versions").cloned().unwrap_or_default();
    record.line(&format!("client got c2a0e1d2: {first}, weights {version}, events {ids:?}, end {end:?}"));
    let disk = disk.lock().unwrap();
    let is_answered = first.contains(" 200 ") && !ids.is_empty() && version == "2";
    if is_answered && !disk.taken_wrong.is_empty() {
        record.line(&format!(
            "WHOLE broken: tokens of version 2 came from layers that were taken with pieces of another version: {:?}",
            disk.taken_wrong
        ));
        return Ok(false);
    }
    if !trouble && !(is_answered && end == End::Complete) {
        return Err("the request failed without the disruption".to_owned());
    }
    Ok(true)
}
