//! Case 1: the model runners go dark in the middle of a stream and then crash.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{call, read_chunks, read_head, End};
use crate::local::{self, event_ids, listed, signal, unix_ms, Local, Record};
use crate::store::Store;

const ENTRY: &str = "127.0.0.40";
const SIDES: [&str; 2] = ["127.0.0.51", "127.0.0.52"];
const DESK: &str = "127.0.0.53";
const EVENTS: u64 = 24;
const PAUSE_MS: u64 = 60;
/// How long the runners are dark before the first one crashes.
const DARK: Duration = Duration::from_millis(1_700);
/// How much later the second one crashes.
const APART: Duration = Duration::from_millis(300);
const ROUNDS: usize = 3;
/// Lookups before each stream, as usual traffic, of which the entry's retry budget grows.
const LOOKUPS: usize = 15;

pub fn run(record: Record, trouble: bool) -> Result<bool, String> {
    let (address, store) = Store::start();
    let local = Local::new(address, &[ENTRY, SIDES[0], SIDES[1], DESK]);
    store.put("op/config", &local::config(None));
    let start = |round: usize| {
        let born = unix_ms();
        let runners: Vec<_> = SIDES
            .iter()
            .enumerate()
            .map(|(number, ip)| {
                let id = format!("i-{round}-{number}");
                let at = local.app(ip).to_string();
                let process = local::runner(&[&id, &at, &EVENTS.to_string(), &PAUSE_MS.to_string(), &born.to_string()], &record);
                (id, process)
            })
            .collect();
        sleep(Duration::from_millis(300));
        for ((id, _), ip) in runners.iter().zip(SIDES) {
            store.put(&format!("servers/{id}"), &listed("llm", local.app(ip), "north", born, 1, 1));
        }
        runners
    };
    let mut runners = start(0);
    let born = unix_ms();
    let at = local.app(DESK).to_string();
    let _desk = local::runner(&["i-desk", &at, "1", "1", &born.to_string()], &record);
    store.put("servers/i-desk", &listed("desk", local.app(DESK), "north", born, 1, 1));
    let _agents: Vec<_> = SIDES.iter().enumerate().map(|(n, ip)| local.agent(&format!("side-{n}"), ip, "north")).collect();
    let _entry = local.entry("front-1", ENTRY, "north");
    local.wait_ready(ENTRY)?;
    sleep(Duration::from_millis(2_500));

    let mut holds = true;
    for round in 0..ROUNDS {
        for number in 0..LOOKUPS {
            let text = local::lookup_request(&format!("a1{round}{number:02}"));
            let (status, _) = call(local.front(ENTRY), &text);
            if status != 200 {
                return Err(format!("a lookup got {status}"));
            }
        }
        let name = format!("c1{round}f0e1d2");
        let front = local.front(ENTRY);
        let sent = record.clone();
        let request = local::stream_request(&name, 6_000);
        let client = spawn(move || -> Result<(u16, Vec<u64>, End), String> {
            let mut stream = TcpStream::connect(front).map_err(|error| error.to_string())?;
            stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
            sent.line(&format!("client sends {name}"));
            stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
            let mut reader = BufReader::new(stream);
            let head = read_head(&mut reader).map_err(|error| error.to_string())?;
            let (first, _) = head.ok_or("no answer")?;
            let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            let mut ids = Vec::new();
            let end = read_chunks(&mut reader, |bytes| ids.extend(event_ids(bytes)));
            sent.line(&format!("client got {name}: status {status}, events {ids:?}, end {end:?}"));
            Ok((status, ids, end))
        });
        if trouble {
            // The runner that has the stream is the one that says so.
            let mark = format!("runs c1{round}f0e1d2");
            let until = Instant::now() + Duration::from_secs(3);
            let holder = loop {
                let found = record.lines().into_iter().find(|line| line.contains(&mark));
                if let Some(line) = found {
                    break line.split(' ').nth(2).unwrap_or_default().to_owned();
                }
                if Instant::now() > until {
                    return Err("no runner got the stream".to_owned());
                }
                sleep(Duration::from_millis(5));
            };
            sleep(Duration::from_millis(500));
            runners.sort_by_key(|(id, _)| *id != holder);
            let processes = [&runners[0].1, &runners[1].1];
            record.line(&format!("runners {} and {} go dark", runners[0].0, runners[1].0));
            signal(&processes, "STOP");
            sleep(DARK);
            record.line(&format!("runner {} crashes", runners[0].0));
            signal(&processes[..1], "KILL");
            sleep(APART);
            record.line(&format!("runner {} crashes", runners[1].0));
            signal(&processes[1..], "KILL");
        }
        let (status, ids, end) = client.join().map_err(|_| "the client failed")??;
        let is_whole = ids == (1..=EVENTS).collect::<Vec<_>>();
        if status == 200 && end == End::Complete && !is_whole {
            record.line(&format!(
                "ORDER broken: the stream ended as complete after event {:?} of {EVENTS}",
                ids.last()
            ));
            holds = false;
        }
        if !trouble && !(status == 200 && end == End::Complete && is_whole) {
            return Err("a stream failed without the disruption".to_owned());
        }
        if trouble {
            for (id, _) in &runners {
                store.remove(&format!("servers/{id}"));
            }
            runners.clear();
            runners = start(round + 1);
            sleep(Duration::from_millis(2_500));
        }
    }
    Ok(holds)
}
