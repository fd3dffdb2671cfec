//! Case 4: the machine of an agent freezes while it is about to order a load, and pieces that it
//! has staged turn bad meanwhile.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{self, read_chunks, read_head, End};
use crate::local::{self, event_ids, listed, unix_ms, Local, Record, CHUNKS};
use crate::runner::Runner;
use crate::sha256;
use crate::store::Store;

const ENTRY: &str = "127.0.0.70";
/// Four model runners, so that one is less than 0.3 of them.
const SIDES: [&str; 4] = ["127.0.0.71", "127.0.0.73", "127.0.0.74", "127.0.0.75"];
const ORIGIN: &str = "127.0.0.72";
const EVENTS: u64 = 6;
/// How long the agent's machine is frozen.
const FROZEN: Duration = Duration::from_millis(4_500);
/// When the pieces turn bad, after the machine froze.
const ROT_AFTER: Duration = Duration::from_millis(200);
/// The pieces that turn bad: 6 in 100.
const BAD: [usize; 5] = [7, 26, 45, 64, 83];
/// A piece that turned bad this long before the load, or earlier, counts.
const SLACK_MS: u64 = 3_000;

fn piece(version: u64, number: usize) -> Vec<u8> {
    let word = format!("piece {number} of version {version}. ");
    word.bytes().cycle().take(4_096).collect()
}

#[derive(Default)]
struct Disk {
    pieces: BTreeMap<usize, Vec<u8>>,
    /// When a piece turned bad.
    bad_since: BTreeMap<usize, u64>,
    /// The pieces that the loaded weights were taken from while they were bad, and for how long.
    taken_bad: Vec<(usize, u64)>,
}

impl Disk {
    fn holds(&self, version: u64) -> bool {
        (0..CHUNKS).all(|number| self.pieces.get(&number) == Some(&piece(version, number)))
    }
}

pub fn run(record: Record, trouble: bool) -> Result<bool, String> {
    let (address, store) = Store::start();
    let local = Local::new(address, &[ENTRY, ORIGIN, SIDES[0], SIDES[1], SIDES[2], SIDES[3]]);

    let origin = local.app(ORIGIN);
    http::serve(TcpListener::bind(origin).map_err(|error| error.to_string())?, |request, stream| {
        let version = request.query("version").and_then(|text| text.parse().ok()).unwrap_or(2);
        if request.path() == "/azurestand/manifest/m0" {
            let digests: Vec<String> =
                (0..CHUNKS).map(|number| format!("\"{}\"", sha256::hex(&piece(version, number)))).collect();
            return http::reply_json(
                stream,
                &format!(
                    "{{\"model\":\"m0\",\"version\":{version},\"chunk_bytes\":4096,\"layers\":16,\"digests\":[{}]}}",
                    digests.join(",")
                ),
            );
        }
        let number = request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
        http::reply(stream, "200 OK", &[], &piece(version, number))
    });

    let mut sides = Vec::new();
    for (number, ip) in SIDES.iter().enumerate() {
        let runner = Runner::new(&format!("i-llm-{number}"), local.app(ip), EVENTS, 40, 0, unix_ms(), record.clone());
        let disk = Arc::new(Mutex::new(Disk::default()));
        disk.lock().unwrap().pieces = (0..CHUNKS).map(|number| (number, piece(1, number))).collect();
        let (served, served_disk, served_record) = (runner.clone(), disk.clone(), record.clone());
        http::serve(TcpListener::bind(runner.address).map_err(|error| error.to_string())?, move |request, stream| {
            let number = || request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
            match request.path() {
                "/azurestand/stage-put/m0" => {
                    let mut disk = served_disk.lock().unwrap();
                    disk.pieces.insert(number(), request.body.clone());
                    disk.bad_since.remove(&number());
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
                    let now = unix_ms();
                    let mut weights = served.weights.lock().unwrap();
                    let expected = format!("\"precondition\":{}", weights.1);
                    if served.busy.load(Ordering::Relaxed) || !body.contains(&expected) {
                        served_record.line(&format!("runner {} refuses {body} with 409", served.id));
                        return http::reply(stream, "409 Conflict", &[], b"");
                    }
                    weights.1 += 1;
                    served.busy.store(true, Ordering::Relaxed);
                    drop(weights);
                    let mut disk = served_disk.lock().unwrap();
                    let bad = disk.bad_since.iter().map(|(number, since)| (*number, now - since));
                    disk.taken_bad = bad.collect();
                    served_record.line(&format!(
                        "runner {} accepts {body}; staged pieces that are bad, and for how many ms: {:?}",
                        served.id, disk.taken_bad
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
        sides.push((runner, disk));
    }

    let list = |runner: &Runner, version, seq| {
        let entry = listed("llm", runner.address, "north", runner.born, seq, version);
        store.put(&format!("servers/{}", runner.id), &entry);
    };
    store.put("op/config", &local::config(Some(origin)));
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":1}");
    for (runner, _) in &sides {
        list(runner, 1, 1);
    }
    let agents: Vec<_> =
        SIDES.iter().enumerate().map(|(number, ip)| local.agent(&format!("side-{number}"), ip, "north")).collect();
    // The machine that freezes, with its runner.
    let (agent, (runner, disk)) = (&agents[0], &sides[0]);
    let _entry = local.entry("front-1", ENTRY, "north");
    local.wait_ready(ENTRY)?;
    sleep(Duration::from_millis(3_000));

    record.line("the operator names version 2");
    store.put("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    let until = Instant::now() + Duration::from_secs(20);
    while !disk.lock().unwrap().holds(2) {
        if Instant::now() > until {
            return Err("version 2 was not staged".to_owned());
        }
        sleep(Duration::from_millis(1));
    }
    if trouble {
        agent.signal("STOP");
        record.line("all pieces of version 2 are staged; the agent's machine freezes");
        sleep(ROT_AFTER);
        if runner.weights.lock().unwrap().1 > 0 || record.lines().iter().any(|line| line.contains(&format!("runner {} accepts", runner.id))) {
            agent.signal("CONT");
            return Err("the order was sent before the freeze".to_owned());
        }
        let mut disk = disk.lock().unwrap();
        for number in BAD {
            disk.pieces.get_mut(&number).unwrap()[100] ^= 1;
            disk.bad_since.insert(number, unix_ms());
        }
        drop(disk);
        record.line(&format!("the staged pieces {BAD:?} turn bad"));
        sleep(FROZEN - ROT_AFTER);
        record.line("the agent's machine wakes");
        agent.signal("CONT");
    }
    let until = Instant::now() + Duration::from_secs(10);
    while sides.iter().any(|(runner, _)| runner.weights.lock().unwrap().0 != 2) {
        if Instant::now() > until {
            // Nothing was loaded: no token is made from bad pieces.
            record.line("version 2 was not loaded");
            return if trouble { Ok(true) } else { Err("version 2 was not loaded".to_owned()) };
        }
        sleep(Duration::from_millis(10));
    }
    record.line("the runners have loaded version 2");
    for (runner, _) in &sides {
        list(runner, 2, 2);
    }
    sleep(Duration::from_millis(1_000));

    // Clients ask until the runner of that machine has answered one of them.
    let mut served = Vec::new();
    for number in 0..40 {
        let name = format!("c4{number:02}0e1d2");
        let mut stream = TcpStream::connect(local.front(ENTRY)).map_err(|error| error.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
        stream.write_all(local::stream_request(&name, 6_000).as_bytes()).map_err(|error| error.to_string())?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader).map_err(|error| error.to_string())?.ok_or("no answer")?;
        let mut ids = Vec::new();
        let end = read_chunks(&mut reader, |bytes| ids.extend(event_ids(bytes)));
        let version = headers.get("x-weight-versions").cloned().unwrap_or_default();
        record.line(&format!("client got {name}: {first}, weights {version}, events {ids:?}, end {end:?}"));
        if first.contains(" 200 ") && !ids.is_empty() && version == "2" && end == End::Complete {
            served.push(name.clone());
            let mark = format!("runner {} runs {name}", runner.id);
            if record.lines().iter().any(|line| line.contains(&mark)) {
                let disk = disk.lock().unwrap();
                let spoilt: Vec<_> = disk.taken_bad.iter().filter(|(_, age)| *age > SLACK_MS).collect();
                if !spoilt.is_empty() {
                    record.line(&format!("WHOLE broken: tokens of {name} came from layers that were taken with the pieces {spoilt:?} (number, ms since it turned bad)"));
                    return Ok(false);
                }
                return Ok(true);
            }
        }
    }
    if served.is_empty() {
        return Err("no request was served".to_owned());
    }
    Ok(true)
}
