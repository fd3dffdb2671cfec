//! Case 5: many clients come at once with long bodies, each within the operators' limits.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{read_chunks, read_head, End};
use crate::local::{self, listed, unix_ms, Local, Record};
use crate::store::Store;

const ENTRY: &str = "127.0.0.80";
const DESK: &str = "127.0.0.81";
const SIDES: [&str; 8] = [
    "127.0.0.82", "127.0.0.83", "127.0.0.84", "127.0.0.85", "127.0.0.86", "127.0.0.87", "127.0.0.88", "127.0.0.89",
];
/// `memory_mb` of the settings: a process that exceeds it is killed by the platform.
const MEMORY_KB: u64 = 260 * 1_024;
/// Clients with long bodies: 26 a second for 2.9 s. With `burst` (x 1.7) a zone of the sheet has
/// 95 requests a second before three entries, so 31.8 at each, those of `READERS` included.
const UPLOADS: usize = 75;
const APART: Duration = Duration::from_micros(38_462);
/// The body, below `max_body_bytes`; 872 Mbit/s together, below `link_mbps`.
const BODY: usize = 4_190_000;
/// Its last part comes so long after its start, below `header_timeout_ms`.
const LAST_PART: usize = 10_000;
const LAST_AFTER: Duration = Duration::from_millis(2_800);
/// Clients that ask the model runner again and again on a kept channel: 5.6 requests a second
/// together.
const READERS: usize = 8;
const READER_PERIOD: Duration = Duration::from_millis(1_430);
/// The runner's time to the first token, until which there is no answer.
const FIRST_MS: &str = "900";

fn resident_kb(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn upload(address: std::net::SocketAddr, id: usize) -> Result<u16, String> {
    let mut stream = TcpStream::connect(address).map_err(|error| error.to_string())?;
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: u{id}\r\nX-Deadline-Ms: 6000\r\n\
         Authorization: Token key1\r\nContent-Length: {BODY}\r\n\r\n"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    stream.write_all(head.as_bytes()).map_err(|error| error.to_string())?;
    let began = Instant::now();
    let body = vec![b'x'; BODY];
    let (first, last) = body.split_at(BODY - LAST_PART);
    stream.write_all(first).map_err(|error| error.to_string())?;
    sleep((began + LAST_AFTER).saturating_duration_since(Instant::now()));
    stream.write_all(last).map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(|error| error.to_string())?;
    let (first, _) = head.ok_or("closed")?;
    first.split(' ').nth(1).and_then(|code| code.parse().ok()).ok_or("no status".to_owned())
}

pub fn run(record: Record, trouble: bool) -> Result<bool, String> {
    let (address, store) = Store::start();
    let local = Local::new(address, &[&[ENTRY, DESK][..], &SIDES[..]].concat());
    store.put("op/config", &local::config(None));
    let born = unix_ms();
    let at = local.app(DESK).to_string();
    let _desk = local::runner(&["i-desk", &at, "1", "200", &born.to_string()], &record);
    sleep(Duration::from_millis(300));
    store.put("servers/i-desk", &listed("desk", local.app(DESK), "north", born, 1, 1));
    let mut sides = Vec::new();
    for (number, ip) in SIDES.iter().enumerate() {
        let (id, at) = (format!("i-llm-{number}"), local.app(ip).to_string());
        let llm = local::runner(&[&id, &at, "1", "1", &born.to_string(), FIRST_MS], &record);
        store.put(&format!("servers/{id}"), &listed("llm", local.app(ip), "north", born, 1, 1));
        sides.push((llm, local.agent(&format!("side-{number}"), ip, "north")));
    }
    let entry = local.entry("front-1", ENTRY, "north");
    local.wait_ready(ENTRY)?;
    sleep(Duration::from_millis(2_500));
    let front = local.front(ENTRY);

    let over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, over, lost, failed) = (record.clone(), over.clone(), lost.clone(), failed.clone());
            spawn(move || {
                let Ok(stream) = TcpStream::connect(front) else { return };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                let mut reader = BufReader::new(stream);
                let began = Instant::now();
                for turn in 0_u32.. {
                    let at = began + READER_PERIOD * turn + READER_PERIOD * number as u32 / READERS as u32;
                    sleep(at.saturating_duration_since(Instant::now()));
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    // The runner's name of the request has to be hexadecimal in a prompt's part.
                    let name = format!("c5{number}{turn:03}");
                    let text = local::stream_request(&name, 6_000);
                    if reader.get_mut().write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    let head = read_head(&mut reader);
                    let Ok(Some((first, _))) = head else {
                        sleep(Duration::from_millis(300));
                        let ran = record.lines().iter().any(|line| line.contains(&format!("runs {name} ")));
                        record.line(&format!("client got no answer to {name}; a runner had it: {ran}"));
                        if ran && turn > 0 {
                            lost.fetch_add(1, Ordering::Relaxed);
                        }
                        return;
                    };
                    let is_whole = read_chunks(&mut reader, |_| {}) == End::Complete;
                    if !first.contains(" 200 ") || !is_whole {
                        record.line(&format!("client got {name}: {first}"));
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    sleep(Duration::from_millis(3_000));

    let count = if trouble { UPLOADS } else { 1 };
    record.line(&format!("{count} clients send {BODY} bytes each; the entry has {} kB", resident_kb(entry.id())));
    let uploads: Vec<_> = (0..count)
        .map(|id| {
            spawn(move || {
                sleep(APART * id as u32);
                upload(front, id)
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(6_000);
    let mut peak = 0;
    let mut is_killed = false;
    while Instant::now() < until && !is_killed {
        let kb = resident_kb(entry.id());
        peak = peak.max(kb);
        if kb > MEMORY_KB {
            record.line(&format!("the entry has {kb} kB, over its {MEMORY_KB} kB: the platform kills it"));
            entry.signal("KILL");
            is_killed = true;
        }
        sleep(Duration::from_millis(5));
    }
    over.store(true, Ordering::Relaxed);
    for reader in readers {
        let _ = reader.join();
    }
    let mut answered = 0;
    for upload in uploads {
        if let Ok(Ok(status)) = upload.join() {
            answered += u64::from(status == 200);
        }
    }
    let lost = lost.load(Ordering::Relaxed);
    record.line(&format!("peak {peak} kB; {answered} of {count} uploads answered 200; {lost} requests lost"));
    if !trouble && (failed.load(Ordering::Relaxed) > 0 || answered != 1 || lost > 0) {
        return Err("requests failed without the disruption".to_owned());
    }
    if lost > 3 {
        record.line(&format!("LOST broken: {lost} requests from kept channels were passed on to a sound runner and got no answer"));
    }
    Ok(lost <= 3)
}
