//! All processes of the system are killed and started again, and new weights are named. One digest
//! is corrupt in the first list of digests that the origin sends.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::weights::stream;
use super::{SERVICE, config};
use crate::base::Record;
use crate::origin::{self, MODEL};
use crate::programs::{Net, Signal};
use crate::runner::Engine;
use crate::store::Store;

const ENTRIES: [u8; 3] = [11, 12, 13];
const AGENTS: [u8; 2] = [21, 22];
/// How long the processes are away.
const DOWN: Duration = Duration::from_millis(1_100);
/// `recover_s` of the settings of zud-rota.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests are counted after that.
const COUNTED: Duration = Duration::from_secs(20);

pub fn run(program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    let net = Net::new();
    let store = Store::start(net.listen(1, 7)?);
    let faults = origin::start(net.listen(2, 6)?, record);
    let source = net.address(2, 6).to_string();
    store.put("op/config", &config(7, &source));
    let zone = "tov-zuunmod";
    let engines = [
        Engine::start(net.listen(21, 1)?, "i-7f3a91c2", zone, SERVICE, &store, record),
        Engine::start(net.listen(22, 1)?, "i-02d9e6b4", zone, SERVICE, &store, record),
    ];
    let start = |host| net.start(program, "entry", host, zone, None);
    let mut entries = ENTRIES.map(start).into_iter().collect::<Result<Vec<_>, _>>()?;
    let start_agent = |host| net.start(program, "agent", host, zone, Some((1, SERVICE)));
    let mut agents = AGENTS.map(start_agent).into_iter().collect::<Result<Vec<_>, _>>()?;
    for host in ENTRIES {
        net.until_ready(host, Duration::from_secs(20))?;
    }
    sleep(Duration::from_secs(2));
    // One request each 250 ms, to the entries in turn. When each was sent, and whether it was served.
    let sent: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(4) + DOWN + RECOVER + COUNTED;
    let addresses = ENTRIES.map(|host| net.address(host, 5));
    let (served, noted) = (sent.clone(), record.clone());
    let client = std::thread::spawn(move || {
        let mut number = 0;
        let mut open = Vec::new();
        while Instant::now() < end {
            let (served, noted) = (served.clone(), noted.clone());
            let entry = addresses[number as usize % addresses.len()];
            open.push(std::thread::spawn(move || {
                let at = Instant::now();
                let is_whole = stream(entry, number, &noted);
                served.lock().unwrap().push((at, is_whole));
            }));
            number += 1;
            sleep(Duration::from_millis(250));
        }
        for request in open {
            let _ = request.join();
        }
    });
    sleep(Duration::from_secs(4));
    record.line("version 8 of the configuration is written");
    store.put("op/config", &config(8, &source));
    record.line("final fault, right after: all processes of the system are killed");
    let fault = Instant::now();
    for program in entries.iter().chain(&agents) {
        program.signal(Signal::Kill);
    }
    sleep(DOWN);
    entries = ENTRIES.map(start).into_iter().collect::<Result<Vec<_>, _>>()?;
    agents = AGENTS.map(start_agent).into_iter().collect::<Result<Vec<_>, _>>()?;
    record.line("they are started again");
    let back = Instant::now();
    for host in ENTRIES {
        net.until_ready(host, Duration::from_secs(20))?;
    }
    sleep(Duration::from_secs(3).saturating_sub(back.elapsed()));
    if trouble {
        *faults.corrupt_lists.lock().unwrap() = 1;
    }
    record.line("version 2 is named");
    store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"));
    let _ = client.join();
    for engine in &engines {
        record.line(&format!("{}: holds version {}", engine.id, engine.version()));
    }
    if entries.iter_mut().chain(agents.iter_mut()).any(|program| !program.runs()) {
        return Err("a program ended by itself".to_owned());
    }
    let sent = sent.lock().unwrap();
    let count = |from: Option<Instant>, to: Option<Instant>| {
        let within = sent.iter().filter(|(at, _)| from.is_none_or(|from| *at > from) && to.is_none_or(|to| *at < to));
        let within: Vec<bool> = within.map(|(_, served)| *served).collect();
        (within.iter().filter(|served| **served).count(), within.len())
    };
    let before = count(None, Some(fault));
    let after = count(Some(back + RECOVER), None);
    record.line(&format!("before the final fault {} of {} requests were served", before.0, before.1));
    record.line(&format!("later than 12 s after the machines were back, {} of {} were", after.0, after.1));
    if before.0 * 4 < before.1 {
        return Err("less than a quarter was served before".to_owned());
    }
    Ok(after.0 * 4 >= after.1)
}
