//! Case 3: an entry is stopped as planned; a client sends on its kept channel 3.1 s later.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{read_chunks, read_head, End};
use crate::local::{self, event_ids, listed, unix_ms, Local, Record};
use crate::store::Store;

const ENTRY: &str = "127.0.0.60";
const SIDE: &str = "127.0.0.61";
const DESK: &str = "127.0.0.62";
/// An answer of 4.7 s: below the time limit of 6 s, and it ends within the grace time.
const EVENTS: u64 = 24;
const PAUSE_MS: u64 = 204;
/// When each request is sent, counted from the SIGTERM.
const SENT_MS: u64 = 3_100;
const GRACE: Duration = Duration::from_secs(8);
const CLIENTS: usize = 4;

pub fn run(record: Record, trouble: bool) -> Result<bool, String> {
    let (address, store) = Store::start();
    let local = Local::new(address, &[ENTRY, SIDE, DESK]);
    store.put("op/config", &local::config(None));
    let born = unix_ms();
    let start = |id: &str, ip: &str| {
        let at = local.app(ip).to_string();
        local::runner(&[id, &at, &EVENTS.to_string(), &PAUSE_MS.to_string(), &born.to_string()], &record)
    };
    let _llm = start("i-llm", SIDE);
    let _desk = start("i-desk", DESK);
    sleep(Duration::from_millis(300));
    store.put("servers/i-llm", &listed("llm", local.app(SIDE), "north", born, 1, 1));
    store.put("servers/i-desk", &listed("desk", local.app(DESK), "north", born, 1, 1));
    let _agent = local.agent("side-1", SIDE, "north");
    let mut entry = local.entry("front-1", ENTRY, "north");
    local.wait_ready(ENTRY)?;
    sleep(Duration::from_millis(2_500));

    // Each client opens a channel, has one answer on it and keeps it.
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let mut stream = TcpStream::connect(local.front(ENTRY)).map_err(|error| error.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
        let _ = stream.set_nodelay(true);
        let text = local::lookup_request(&format!("b{number}"));
        stream.write_all(text.as_bytes()).map_err(|error| error.to_string())?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader).map_err(|error| error.to_string())?;
        let (first, headers) = head.ok_or("no answer to a lookup")?;
        let length = headers.get("content-length").and_then(|value| value.parse().ok());
        reader.read_exact(&mut vec![0; length.unwrap_or(0)]).map_err(|error| error.to_string())?;
        if !first.contains(" 200 ") || headers.get("connection").is_some_and(|value| value == "close") {
            return Err(format!("a lookup got {first}"));
        }
        kept.push(reader);
    }
    sleep(Duration::from_millis(1_000));

    let stopped = Instant::now();
    if trouble {
        record.line("SIGTERM to the entry");
        entry.signal("TERM");
    }
    let clients: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut reader)| {
            let record = record.clone();
            spawn(move || -> Result<bool, String> {
                let at = stopped + Duration::from_millis(SENT_MS);
                sleep(at.saturating_duration_since(Instant::now()));
                let name = format!("c3{number}f0e1d2");
                let sent = stopped.elapsed();
                if let Err(error) = reader.get_mut().write_all(local::stream_request(&name, 6_000).as_bytes()) {
                    record.line(&format!("client could not send {name}: {error}"));
                    return Ok(true);
                }
                record.line(&format!("client sent {name} {} ms after the SIGTERM", sent.as_millis()));
                let head = match read_head(&mut reader) {
                    Ok(Some(head)) => head,
                    other => {
                        record.line(&format!("client got no answer to {name}: {other:?}"));
                        // The entry had read it if a runner got it.
                        let ran = record.lines().iter().any(|line| line.contains(&format!("runs {name}")));
                        return Ok(!ran);
                    }
                };
                let mut ids = Vec::new();
                let end = read_chunks(&mut reader, |bytes| ids.extend(event_ids(bytes)));
                let ended = stopped.elapsed();
                record.line(&format!(
                    "client got {name}: {}, {} events of {EVENTS}, end {end:?}, {} ms after the SIGTERM",
                    head.0,
                    ids.len(),
                    ended.as_millis()
                ));
                if !head.0.contains(" 200 ") {
                    return Ok(true);
                }
                let is_lost = end != End::Complete
                    && sent > Duration::from_secs(3)
                    && ended < GRACE + Duration::from_secs(1)
                    && ended - sent < Duration::from_secs(6);
                if is_lost {
                    record.line(&format!(
                        "LOST broken: {name} was passed on to a sound runner and its channel was closed {} ms later",
                        (ended - sent).as_millis()
                    ));
                }
                Ok(!is_lost && (end == End::Complete || sent <= Duration::from_secs(3)))
            })
        })
        .collect();
    let mut holds = true;
    for client in clients {
        holds &= client.join().map_err(|_| "a client failed")??;
    }
    if trouble {
        let left = GRACE.saturating_sub(stopped.elapsed());
        let ended = entry.wait(left);
        record.line(&format!("the entry {} by {} ms", if ended { "ended" } else { "still runs" }, stopped.elapsed().as_millis()));
    } else if !holds {
        return Err("a stream failed without the disruption".to_owned());
    }
    Ok(holds)
}
