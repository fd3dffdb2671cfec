//! Two versions are named one after the other, while one call of the runner whose turn is last hangs.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::weights::stream;
use super::{SERVICE, config};
use crate::base::Record;
use crate::origin::{self, MODEL};
use crate::programs::Net;
use crate::runner::Engine;
use crate::store::Store;

const ENGINES: u8 = 9;
/// How long a runner takes to stage a piece.
const STAGE_TIME: Duration = Duration::from_millis(30);
/// How much longer one call takes.
const HANG: Duration = Duration::from_millis(2_450);

pub fn run(program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    let net = Net::new();
    let store = Store::start(net.listen(1, 7)?);
    origin::start(net.listen(2, 6)?, record);
    store.put("op/config", &config(7, &net.address(2, 6).to_string()));
    let zone = "tov-zuunmod";
    // The runners that have begun to stage version 2; the first call of the last one hangs.
    let begun: Arc<Mutex<BTreeSet<u8>>> = Arc::default();
    let first = origin::piece(0, 2);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let listener = net.listen(21 + number, 1)?;
        let id = format!("i-7f3a91c{number}");
        let engine = Engine::start(listener, &id, zone, SERVICE, &store, record);
        *engine.faults.stage_time.lock().unwrap() = STAGE_TIME;
        let (begun, first) = (begun.clone(), first.clone());
        let hang = move |piece: usize, bytes: &[u8]| {
            let mut begun = begun.lock().unwrap();
            let is_first = piece == 0 && bytes == first && begun.insert(number);
            (trouble && is_first && begun.len() == usize::from(ENGINES)).then_some(HANG)
        };
        *engine.faults.hang.lock().unwrap() = Some(Box::new(hang));
        engines.push(engine);
    }
    let mut programs = vec![net.start(program, "entry", 11, zone, None)?];
    for number in 0..ENGINES {
        programs.push(net.start(program, "agent", 21 + number, zone, Some((1, SERVICE)))?);
    }
    net.until_ready(11, Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));
    let name = |version: u64| {
        record.line(&format!("version {version} is named"));
        store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}"));
    };
    name(2);
    sleep(Duration::from_millis(4_500));
    name(3);
    let end = Instant::now() + Duration::from_secs(12);
    while engines.iter().any(|engine| engine.version() < 3) {
        if Instant::now() > end {
            return Err("version 3 was not loaded everywhere".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(1));
    let entry = net.address(11, 5);
    for number in 100..160 {
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
