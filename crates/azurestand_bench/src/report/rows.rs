//! Turns each bench's rows into figures and plots.

use crate::control::{self, ControlRow, Method};
use crate::requests;
use crate::slopes::{self, Point, Slope};
use crate::spread::{Case, Outcome};

use super::{Figure, Group, Plot, Series};

fn figure(name: String, unit: &str, value: f64) -> Figure {
    Figure {
        name,
        unit: unit.to_owned(),
        value,
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn float(count: u64) -> f64 {
    count as f64
}

pub(super) fn control(report: &control::Report) -> Group {
    let mut figures = Vec::new();
    for row in &report.control {
        let name = |what: &str| format!("{:?}, {} nodes: {what}", row.method, row.nodes);
        figures.push(figure(name("change in force, median"), "ms", row.p50_ms));
        figures.push(figure(name("change in force, last"), "ms", row.max_ms));
        figures.push(figure(name("store, at rest"), "calls/s", row.steady_calls));
        figures.push(figure(
            name("store, a change"),
            "calls",
            float(row.change_calls),
        ));
        figures.push(figure(name("a node"), "B/s", row.node_bytes));
        figures.push(figure(
            name("a node's processor"),
            "% of a core",
            row.cpu_percent,
        ));
    }
    for row in &report.detection {
        let name = |what: &str| format!("{} nodes, {}% lost: {what}", row.nodes, row.loss_percent);
        figures.push(figure(name("dead host known, median"), "s", row.dead_s));
        figures.push(figure(
            name("live hosts taken for dead"),
            "hosts",
            float(row.false_deaths),
        ));
    }
    for row in &report.recovery {
        let name = format!("{}, {} nodes: store back", row.case, row.nodes);
        figures.push(figure(name, "calls/s", float(row.peak_calls)));
    }
    let last = series_by_method(report, |row| row.max_ms);
    let bytes = series_by_method(report, |row| row.node_bytes);
    Group {
        title: "Membership and dissemination".to_owned(),
        bench: "control".to_owned(),
        figures,
        plots: vec![
            plot(
                "control-change",
                "Until a change is in force everywhere, ms",
                "nodes",
                last,
            ),
            plot("control-bytes", "Bytes a second a node", "nodes", bytes),
        ],
    }
}

fn plot(file: &str, title: &str, across: &str, series: Vec<Series>) -> Plot {
    Plot {
        file: file.to_owned(),
        title: title.to_owned(),
        across: across.to_owned(),
        series,
    }
}

fn series_by_method(report: &control::Report, part: fn(&ControlRow) -> f64) -> Vec<Series> {
    let of = |method: Method| {
        let rows = report.control.iter().filter(|row| row.method == method);
        Series {
            name: format!("{method:?}"),
            points: rows.map(|row| point(row.nodes, part(row))).collect(),
        }
    };
    vec![of(Method::Hubs), of(Method::WatchAll)]
}

fn point(size: usize, y: f64) -> Point {
    Point {
        x: float(size as u64),
        y,
    }
}

pub(super) fn spread(cases: &[Case], outcomes: &[Outcome]) -> Group {
    let mut figures = Vec::new();
    let mut series: Vec<Series> = Vec::new();
    for (case, outcome) in cases.iter().zip(outcomes) {
        let hosts = case.setup.hosts;
        let name = |what: &str| format!("{}, {hosts} hosts: {what}", case.name);
        let missing = float((outcome.alive - outcome.live) as u64);
        figures.push(figure(name("time"), "s", outcome.time.as_secs_f64()));
        figures.push(figure(name("time over bound"), "ratio", outcome.ratio()));
        figures.push(figure(
            name("drawn from the origin"),
            "copies",
            outcome.origin,
        ));
        figures.push(figure(
            name("control of a host"),
            "B/s",
            outcome.control_rate(),
        ));
        figures.push(figure(name("live hosts without it"), "hosts", missing));
        let place = point(hosts, outcome.ratio());
        match series.iter_mut().find(|series| series.name == case.name) {
            Some(known) => known.points.push(place),
            None => series.push(Series {
                name: case.name.clone(),
                points: vec![place],
            }),
        }
    }
    // A kind that was run at one size alone makes no line.
    series.retain(|series| series.points.len() > 1);
    Group {
        title: "Spreading".to_owned(),
        bench: "spread".to_owned(),
        figures,
        plots: vec![plot(
            "spread-ratio",
            "Time over the physical bound",
            "hosts",
            series,
        )],
    }
}

pub(super) fn policy(report: &requests::Report) -> Group {
    let mut figures = Vec::new();
    for row in &report.bursts {
        let name = |what: &str| format!("burst at cold targets, {:?}: {what}", row.policy);
        figures.push(figure(
            name("beyond the limit"),
            "requests",
            float(row.over_limit),
        ));
        figures.push(figure(name("answered"), "share", row.answered));
    }
    for row in &report.overloads {
        let name = |what: &str| format!("load {:.1}, {:?}: {what}", row.load, row.policy);
        figures.push(figure(name("goodput"), "share", row.goodput));
        figures.push(figure(name("small accounts, p95"), "ms", row.small_p95_ms));
    }
    for row in &report.retries {
        let name = format!(
            "{:.2} refuse, {:?}: sends a request",
            row.refusing, row.policy
        );
        figures.push(figure(name, "sends", row.amplification));
    }
    for row in &report.prefixes {
        let name = format!("{:.1} of events lost, {:?}: cached", row.gaps, row.policy);
        figures.push(figure(name, "share", row.hits));
    }
    for row in &report.centres {
        let name = |what: &str| format!("a data centre out, {:?}: {what}", row.policy);
        figures.push(figure(name("answered"), "share", row.answered));
        figures.push(figure(name("longest gap"), "ms", row.gap_ms));
    }
    Group {
        title: "Policy of requests, in virtual time".to_owned(),
        bench: "requests".to_owned(),
        figures,
        plots: Vec::new(),
    }
}

pub(super) fn live(report: &requests::Report) -> Group {
    let mut figures = Vec::new();
    for row in &report.latencies {
        let name = |what: &str| format!("{} at once: {what}", row.callers);
        figures.push(figure(name("added, median"), "ms", row.added_p50_ms()));
        figures.push(figure(name("added, p99"), "ms", row.added_p99_ms()));
    }
    for row in &report.rates {
        let name = |what: &str| format!("{} at once: {what}", row.callers);
        figures.push(figure(name("straight"), "calls/s", row.direct));
        figures.push(figure(name("through one entry"), "calls/s", row.through));
    }
    for row in &report.leaves {
        let name = |what: &str| format!("a data centre out and back: {what}");
        figures.push(figure(name("answered"), "share", row.answered));
        figures.push(figure(name("lost"), "requests", float(row.lost)));
    }
    Group {
        title: "Requests through the daemons".to_owned(),
        bench: "requests".to_owned(),
        figures,
        plots: Vec::new(),
    }
}

pub(super) fn slopes(of: &str, report: &slopes::Report) -> Group {
    let mut figures = Vec::new();
    for slope in &report.slopes {
        let unit = format!("{} a {}", slope.unit, slope.each);
        figures.push(figure(slope.name.clone(), &unit, slope.slope));
        let off = format!("{}: farthest off the line", slope.name);
        figures.push(figure(off, "% of the largest", slope.residual * 100.0));
    }
    Group {
        title: format!("Slopes of the {of}"),
        bench: "slopes".to_owned(),
        figures,
        plots: vec![scaled(of, &report.slopes)],
    }
}

/// All slopes in one picture: each cost as a part of its largest, over the size likewise.
fn scaled(of: &str, slopes: &[Slope]) -> Plot {
    let most = |points: &[Point], part: fn(&Point) -> f64| {
        points.iter().map(part).fold(f64::MIN_POSITIVE, f64::max)
    };
    let series = slopes.iter().map(|slope| {
        let across = most(&slope.points, |point| point.x);
        let up = most(&slope.points, |point| point.y);
        let points = slope.points.iter().map(|point| Point {
            x: point.x / across,
            y: point.y / up,
        });
        Series {
            name: slope.name.clone(),
            points: points.collect(),
        }
    });
    plot(
        &format!("slopes-{of}"),
        "Cost over size, each as a part of its largest",
        "part of the largest size",
        series.collect(),
    )
}
