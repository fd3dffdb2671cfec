//! What sealing and opening one frame costs, by its length.

use azurestand_wire::{AnswerPart, Body, FleetKey, Report, Session, TargetLoad};
use bytes::Bytes;

use super::fit::{Point, Slope};
use super::usage::processor_micros;

/// Bytes that all rounds of one length move together.
const VOLUME_BYTES: u32 = 128 << 20;
const MOST_FRAMES: u32 = 100_000;

pub(super) fn key() -> FleetKey {
    FleetKey::try_from("5a".repeat(32).as_str()).expect("64 digits")
}

pub(super) fn part(length: u32) -> Body {
    Body::AnswerPart(AnswerPart {
        id: Bytes::from_static(&[7; 16]),
        offset: 1_000,
        bytes: Bytes::from(vec![b'x'; length as usize]),
    })
}

/// A report of an agent with `targets` engines that all have weights.
pub(super) fn report(targets: u32) -> Body {
    let load = |n: u32| TargetLoad {
        target: format!("runner-{n:03}"),
        subject: "dispatch".to_owned(),
        engine: true,
        state: 5,
        limit: 8,
        running: 3,
        waiting: 1,
        weights: Bytes::from(vec![7; 32]),
    };
    Body::Report(Report {
        sequence: 100_000,
        targets: (0..targets).map(load).collect(),
        leaving: false,
        agent_time: 3_600_000_000,
    })
}

/// Bytes of `body` on the way, its length in front.
pub(super) fn length(body: Body) -> f64 {
    let (mut ours, _) = Session::pair(&key(), b"a", b"b");
    let bytes = ours.seal(body).len() + 4;
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

pub(super) fn measure() -> Vec<Slope> {
    let sizes = [64, 1 << 10, 16 << 10, 256 << 10, 1 << 20];
    let seal = sizes.map(|size| turn(size, false)).to_vec();
    let both = sizes.map(|size| turn(size, true)).to_vec();
    let few = [1, 2, 4, 8].map(|targets| Point {
        x: f64::from(targets),
        y: length(report(targets)),
    });
    vec![
        Slope::fit("seal a frame", "us CPU", "KiB", seal),
        Slope::fit("seal and open a frame", "us CPU", "KiB", both),
        Slope::fit("bytes of a load report", "B", "target", few.to_vec()),
    ]
}

fn turn(size: u32, open: bool) -> Point {
    let (mut ours, mut theirs) = Session::pair(&key(), b"a", b"b");
    let body = part(size);
    let rounds = (VOLUME_BYTES / size).min(MOST_FRAMES);
    let before = processor_micros();
    for _ in 0..rounds {
        let frame = ours.seal(body.clone());
        if open {
            let opened = theirs.open(&frame);
            assert!(opened.is_ok(), "a frame in its order opens");
        }
    }
    Point {
        x: f64::from(size) / 1_024.0,
        y: (processor_micros() - before) / f64::from(rounds),
    }
}
