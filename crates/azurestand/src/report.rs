//! What a command prints.

use serde::Serialize;
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::status::ExitStatus;

/// How to print.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs: one JSON value.
    Json,
}

/// What a command found or did.
#[derive(Debug)]
pub(crate) struct Report {
    status: ExitStatus,
    text: String,
    json: Value,
}

impl Report {
    /// A success, as text and as data.
    pub(crate) fn new<T, D>(text: T, data: &D) -> Self
    where
        T: Into<String>,
        D: Serialize,
    {
        Self {
            status: ExitStatus::Success,
            text: text.into(),
            json: json!(data),
        }
    }

    /// The same report with another status.
    pub(crate) fn with_status(self, status: ExitStatus) -> Self {
        Self { status, ..self }
    }

    /// Prints the report on standard output.
    pub(crate) fn print(&self, format: Format) -> ExitStatus {
        match format {
            Format::Text => println!("{}", self.text.trim_end()),
            Format::Json => println!("{}", self.json),
        }
        self.status
    }
}

#[derive(Serialize)]
struct FailureData {
    error: String,
    status: u8,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    places: Vec<PlaceData>,
}

#[derive(Serialize)]
struct PlaceData {
    section: Option<String>,
    key: String,
    line: usize,
    message: String,
}

/// Prints a failure: text on standard error, JSON on standard output.
pub(crate) fn fail(failure: &Failure, format: Format) -> ExitStatus {
    let status = failure.status();
    match format {
        Format::Text => eprintln!("azurestand: {failure}"),
        Format::Json => println!("{}", json!(failure_data(failure))),
    }
    status
}

fn failure_data(failure: &Failure) -> FailureData {
    let errors = failure.errors().map_or(&[][..], |errors| errors.as_slice());
    let places = errors.iter().map(|error| PlaceData {
        section: error.section.map(|section| section.to_string()),
        key: error.key.clone(),
        line: error.line,
        message: error.fault.to_string(),
    });
    FailureData {
        error: failure.to_string(),
        status: failure.status().code(),
        places: places.collect(),
    }
}
