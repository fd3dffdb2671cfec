//! The table that the example prints, and its verdict.

use std::time::Duration;

use azurestand_standin::{Deployment, Driven, Plan, Record, Settled, Tally};

const QUIET_LIMIT: Duration = Duration::from_secs(2);
const FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Rows of name, value and whether a promise held.
pub(crate) struct Table {
    title: String,
    rows: Vec<Row>,
    size: usize,
}

struct Row {
    name: String,
    value: String,
    /// None for a figure that is no promise.
    held: Option<bool>,
}

impl Table {
    pub(crate) fn new(plan: &Plan, size: usize) -> Self {
        Self {
            title: format!(
                "{}: {} model runners, {size} bytes of weights",
                plan.title,
                plan.engines()
            ),
            rows: Vec::new(),
            size,
        }
    }

    fn row<V>(&mut self, name: &str, value: &V, held: Option<bool>)
    where
        V: std::fmt::Display + ?Sized,
    {
        self.rows.push(Row {
            name: name.to_owned(),
            value: value.to_string(),
            held,
        });
    }

    pub(crate) fn live(&mut self, version: &str, n: usize, live: Settled, deployment: &Deployment) {
        let value = match live.time {
            Some(time) => format!("{:.2} s", time.as_secs_f64()),
            None => format!("only {} of {n}", live.count),
        };
        self.row(
            &format!("{version} live on {n}"),
            &value,
            Some(live.time.is_some()),
        );
        let copies = ratio(deployment.origin.served().chunks, self.size);
        self.row(
            &format!("{version} origin bytes, in copies"),
            &format!("{copies:.2}"),
            None,
        );
    }

    pub(crate) fn faults(&mut self, deployment: &Deployment, driven: &Driven) {
        self.row(
            "new work in a data centre that was out",
            &driven.late_work,
            Some(driven.late_work == 0),
        );
        self.row(
            "configuration went back",
            &driven.reverts,
            Some(driven.reverts == 0),
        );
        let n = deployment.plan.engines();
        let live = driven.live;
        self.row(
            "wanted version live after all was mended",
            &format!("{} of {n}, {}", live.count, seconds(live.time)),
            Some(live.time.is_some()),
        );
        let current = driven.current;
        self.row(
            "entries with the newest document then",
            &format!("{}, {}", current.count, seconds(current.time)),
            Some(current.time.is_some()),
        );
    }

    pub(crate) fn in_force(&mut self, what: &str, force: Settled) {
        let value = seconds(force.time);
        let held = force.time.is_some_and(|time| time <= FORCE_LIMIT);
        self.row(
            &format!("edit ({what}) in force on all entries"),
            &value,
            Some(held),
        );
    }

    pub(crate) fn quiet(&mut self, quiet: Option<Duration>) {
        let held = quiet.is_some_and(|time| time <= QUIET_LIMIT);
        self.row(
            "no new work after a data centre was taken out",
            &seconds(quiet),
            Some(held),
        );
    }

    pub(crate) fn gap(&mut self, gap: u64) {
        self.row(
            "longest gap between answers meanwhile",
            &format!("{gap} ms"),
            None,
        );
    }

    pub(crate) fn requests(&mut self, tally: &Tally, record: &Record, whole: bool) {
        self.row("requests sent", &tally.sent, None);
        self.row("answered", &tally.answered, Some(tally.answered > 0));
        self.row("told not run, after all tries", &tally.not_run, None);
        self.row("told unknown", &tally.unknown, None);
        self.row("lost", &tally.lost, Some(tally.lost == 0));
        self.row("no word, as the entry was killed", &tally.severed, None);
        let doubled = record.runs.values().filter(|runs| **runs > 1).count();
        self.row("doubled", &doubled, Some(doubled == 0));
        let missing = tally
            .booked
            .iter()
            .filter(|key| !record.runs.contains_key(*key));
        let missing = missing.count();
        self.row("answered but never run", &missing, Some(missing == 0));
        let ran = tally
            .unbooked
            .iter()
            .filter(|key| record.runs.contains_key(*key));
        let ran = ran.count();
        self.row("told not run, but run", &ran, Some(ran == 0));
        self.row(
            "mixed weights",
            &tally.mixed,
            Some(tally.mixed + u64::from(record.mixed) == 0),
        );
        self.row(
            "weights never published",
            &record.partial,
            Some(record.partial == 0),
        );
        self.row("foreign answers", &tally.foreign, Some(tally.foreign == 0));
        self.row(
            "overloads in cold start",
            &record.overloads,
            Some(record.overloads == 0),
        );
        self.row("planned stops cut nothing off", &whole, Some(whole));
        let (half, most) = (tally.percentile(0.5), tally.percentile(0.95));
        self.row(
            "whole answer, p50 / p95",
            &format!("{half} / {most} ms"),
            None,
        );
    }

    /// Prints the table; gives whether every promise held.
    pub(crate) fn print(&self) -> bool {
        println!("\n{}\n", self.title);
        let width = self
            .rows
            .iter()
            .map(|row| row.name.len())
            .max()
            .unwrap_or(0);
        for row in &self.rows {
            let mark = match row.held {
                Some(true) => "held",
                Some(false) => "BROKEN",
                None => "",
            };
            println!("  {:width$}  {:>16}  {mark}", row.name, row.value);
        }
        self.rows.iter().all(|row| row.held != Some(false))
    }
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not in time".into(),
        |time| format!("{:.2} s", time.as_secs_f64()),
    )
}

fn ratio(bytes: u64, size: usize) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let ratio = bytes as f64 / size as f64;
    ratio
}
