//! New weights are named while one runner's answer to the staging of a piece comes twice.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{HOST, KEY, SERVICE, config};
use crate::base::Record;
use crate::http::Channel;
use crate::origin::{self, MODEL};
use crate::programs::Net;
use crate::runner::Engine;
use crate::store::Store;

/// The last piece of a round, whose staging is broken off: after it the agent sends nothing on that
/// channel that would show its end.
const FROM_PIECE: usize = 95;
/// In how many rounds; 3 in 100 of the answers that a load needs.
const ROUNDS: u32 = 2;

pub fn run(program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    let net = Net::new();
    let store = Store::start(net.listen(1, 7)?);
    origin::start(net.listen(2, 6)?, record);
    store.put("op/config", &config(7, &net.address(2, 6).to_string()));
    let zone = "tov-zuunmod";
    let engines = [
        Engine::start(net.listen(21, 1)?, "i-7f3a91c2", zone, SERVICE, &store, record),
        Engine::start(net.listen(22, 1)?, "i-02d9e6b4", zone, SERVICE, &store, record),
    ];
    let mut programs = vec![net.start(program, "entry", 11, zone, None)?];
    for host in [21, 22] {
        programs.push(net.start(program, "agent", host, zone, Some((1, SERVICE)))?);
    }
    net.until_ready(11, Duration::from_secs(20))?;
    let entry = net.address(11, 5);
    sleep(Duration::from_secs(1));
    for number in 0..4 {
        let whole = stream(entry, number, record);
        if !whole {
            record.line("a stream before the disruption was not answered whole");
        }
    }
    if trouble {
        *engines[1].faults.second_answer.lock().unwrap() = Some((FROM_PIECE, ROUNDS));
    }
    record.line("version 2 is named");
    store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"));
    let end = Instant::now() + Duration::from_secs(20);
    while engines.iter().any(|engine| engine.version() < 2) {
        if Instant::now() > end {
            return Err("version 2 was not loaded everywhere".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(1));
    for number in 100..120 {
        stream(entry, number, record);
    }
    let mut held = true;
    for engine in &engines {
        let tokens = engine.tokens.load(Ordering::Relaxed);
        let bad = engine.bad_tokens.load(Ordering::Relaxed);
        record.line(&format!("{}: {tokens} tokens made, {bad} of them with a layer of wrong pieces", engine.id));
        engine.ended.store(true, Ordering::Relaxed);
        held &= bad == 0;
    }
    if programs.iter_mut().any(|program| !program.runs()) {
        return Err("a program ended by itself".to_owned());
    }
    Ok(held)
}

/// Sends one request for a stream; returns whether its answer was whole.
pub fn stream(entry: SocketAddr, number: u64, record: &Record) -> bool {
    let id = format!("{:016x}", 0x9c41_d07b_0000_0000 + number);
    let Some(mut channel) = Channel::connect(entry, Duration::from_secs(1)) else {
        return false;
    };
    let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(6)));
    let request = format!(
        "POST /lepu270/2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-model: {MODEL}\r\nx-token-counts: 60,72\r\n\
         x-prompt-prefix: 5c1e07a2:40,{number:08x}:20\r\nx-deadline-ms: 6000\r\nauthorization: Token {KEY}\r\ncontent-length: 4\r\n\r\nbody"
    );
    channel.write(request.as_bytes());
    let answer = channel.read_message();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let events = answer.map_or(0, |answer| String::from_utf8_lossy(&answer.body).matches("id: ").count());
    record.line(&format!("client: {id}: status {status}, {events} events"));
    status == 200 && events == 12
}
