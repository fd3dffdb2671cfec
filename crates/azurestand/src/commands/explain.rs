//! `explain`: tells the story of one request from the logs of entries.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::failure::Failure;
use crate::report::Report;
use crate::status::ExitStatus;

/// Fields that stand in the columns of the story.
const COLUMNS: [&str; 4] = ["ms", "event", "what", "request"];

/// One line of a log that is about the request.
#[derive(Debug, Serialize)]
struct Step {
    /// Milliseconds on the clock of the process that wrote it.
    ms: u64,
    /// The number of the event.
    event: String,
    /// Its name.
    what: String,
    /// Everything else that it says.
    fields: Map<String, Value>,
}

#[derive(Debug, Serialize)]
struct Story<'a> {
    request: &'a str,
    steps: &'a [Step],
    cause: String,
}

/// What the logs hold on one request.
#[derive(Debug, Default)]
struct Found {
    steps: Vec<Step>,
    /// The crashes of targets that speak against parts of prompts, by part.
    crashes: BTreeMap<String, String>,
}

/// Reads `files`, or standard input if there are none.
pub(crate) fn run(request: &str, files: &[PathBuf]) -> Result<Report, Failure> {
    let mut found = Found::default();
    if files.is_empty() {
        collect(io::stdin().lock(), request, &mut found)?;
    }
    for path in files {
        let opened = std::fs::File::open(path);
        let file = opened.map_err(|error| Failure::File(path.clone(), error))?;
        collect(BufReader::new(file), request, &mut found).map_err(|error| named(path, error))?;
    }
    let cause = cause(&found);
    let steps = found.steps;
    let text = text(request, &steps, &cause);
    let story = Story {
        request,
        steps: &steps,
        cause,
    };
    let report = Report::new(text, &story);
    if steps.is_empty() {
        return Ok(report.with_status(ExitStatus::NotFound));
    }
    Ok(report)
}

fn named(path: &Path, error: io::Error) -> Failure {
    Failure::File(path.to_owned(), error)
}

/// Takes the lines about the request; whatever stands before the object is left out.
fn collect<R>(reader: R, request: &str, found: &mut Found) -> io::Result<()>
where
    R: Read + BufRead,
{
    for line in reader.lines() {
        let line = line?;
        let object = line.find('{').map(|start| &line[start..]);
        let Some(Ok(Value::Object(fields))) = object.map(serde_json::from_str) else {
            continue;
        };
        if fields.get("request").and_then(Value::as_str) == Some(request) {
            found.steps.push(step(fields));
        } else if let Some((part, crashes)) = part_crashes(&fields) {
            found.crashes.insert(part.to_owned(), crashes.to_owned());
        }
    }
    Ok(())
}

/// The part of prompts that a line is about, with the crashes that speak against it.
fn part_crashes(fields: &Map<String, Value>) -> Option<(&str, &str)> {
    let text = |name| fields.get(name).and_then(Value::as_str);
    let crashes = text("crashes").filter(|crashes| !crashes.is_empty())?;
    let names_part = matches!(text("what"), Some("part_suspected" | "part_quarantined"));
    let part = text("part").filter(|_| names_part)?;
    Some((part, crashes))
}

fn step(mut fields: Map<String, Value>) -> Step {
    let text = |fields: &Map<String, Value>, name| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (event, what) = (text(&fields, "event"), text(&fields, "what"));
    let ms = fields.get("ms").and_then(Value::as_u64).unwrap_or_default();
    for column in COLUMNS {
        fields.remove(column);
    }
    Step {
        ms,
        event,
        what,
        fields,
    }
}

fn field<'a>(step: &'a Step, name: &str) -> Option<&'a str> {
    step.fields.get(name).and_then(Value::as_str)
}

/// The last word on the request, with what led to it.
fn cause(found: &Found) -> String {
    let steps = &found.steps;
    let Some(last) = steps.last() else {
        return "no line names the request; read the logs of all entries of its data centre, \
                or lines were left out (G0005)"
            .to_owned();
    };
    let why = field(last, "why").unwrap_or("no reason given");
    let faults: Vec<String> = steps
        .iter()
        .filter(|step| matches!(step.what.as_str(), "attempt_failed" | "withdrawn"))
        .map(|step| {
            let target = field(step, "target").unwrap_or("a target");
            format!("{target}: {}", field(step, "why").unwrap_or("failed"))
        })
        .collect();
    let led = if faults.is_empty() {
        String::new()
    } else {
        format!(" after {}", faults.join(", "))
    };
    match last.what.as_str() {
        "answered" => format!("answered{led}"),
        "refused" => {
            let crashes = field(last, "part").and_then(|part| found.crashes.get(part));
            let proof = crashes.map_or_else(String::new, |crashes| {
                format!("; targets that ended under it: {crashes}")
            });
            format!("refused before it ran: {why}{led}{proof}")
        }
        "unknown" => format!("its outcome can't be known: {why}{led}"),
        "broken" => format!("broken off midway: {why}{led}"),
        "attempt_failed" | "withdrawn" => format!("its caller left, or the process ended{led}"),
        _ => format!("no end is on record; its caller left, or the process ended{led}"),
    }
}

fn text(request: &str, steps: &[Step], cause: &str) -> String {
    let first = steps.first().map_or(0, |step| step.ms);
    let mut lines = vec![format!("request {request}")];
    for step in steps {
        let fields = step.fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        lines.push(format!(
            "{:>8} ms  {} {}  {}",
            step.ms.saturating_sub(first),
            step.event,
            step.what,
            fields.join(" ")
        ));
    }
    lines.push(format!("cause: {cause}"));
    lines.join("\n")
}
