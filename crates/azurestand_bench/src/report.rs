//! One page of all figures, beside those of the run before.
//!
//! The figures are kept as JSON next to the page, so that the next run can tell what
//! a change did.

mod compare;
mod page;
mod plot;
mod rows;
#[cfg(test)]
mod tests;

use std::fs;
use std::io;
use std::path::PathBuf;

use indicatif::{ProgressBar, ProgressStyle};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::slopes::Point;
use crate::{control, requests, slopes, spread};

const PAGE: &str = "report.md";
const FIGURES: &str = "report.json";

quick_error! {
    /// Why no report could be written.
    #[derive(Debug)]
    pub enum ReportError {
        /// A file could not be read or written.
        Io(error: io::Error) {
            display("a file of the report failed: {error}; name a folder that can be written with --out")
            from()
        }
        /// The figures of the run before are damaged.
        Previous(error: serde_json::Error) {
            display("the run before can't be read: {error}; move report.json away to begin anew")
            from()
        }
        /// The daemons could not be measured.
        Daemons(error: azurestand_standin::DeploymentError) {
            display("the daemons could not be measured: {error}; run the report again")
            from()
        }
        /// A plot could not be drawn.
        Plot(reason: String) {
            display("a plot failed: {reason}; name a folder that can be written with --out")
        }
    }
}

/// What to measure and where to write it.
#[derive(Debug, Clone)]
pub struct Options {
    /// The folder of the page, its plots and its figures.
    pub out: PathBuf,
    /// Leaves out the daemons and the side series of spreading.
    pub short: bool,
}

/// One figure with its name within its group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// What was measured, at what size.
    pub name: String,
    /// The unit.
    pub unit: String,
    /// The figure.
    pub value: f64,
}

/// The figures of one bench.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The heading.
    pub title: String,
    /// The bench that gives the same figures at full length.
    pub bench: String,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub plots: Vec<Plot>,
}

/// Points of one kind, joined.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The kind.
    pub name: String,
    /// The points.
    pub points: Vec<Point>,
}

/// Several series over one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plot {
    /// The name of its file, without its ending.
    pub file: String,
    /// The heading.
    pub title: String,
    /// What the size counts.
    pub across: String,
    /// The series.
    pub series: Vec<Series>,
}

/// All figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Whether the daemons and side series were left out.
    pub short: bool,
    /// The groups in the order of measuring.
    pub groups: Vec<Group>,
}

/// Measures, compares with the run before and writes page, plots and figures.
///
/// # Errors
///
/// [`ReportError`] when a measurement fails, or a file can't be read or written.
pub fn write(options: &Options) -> Result<PathBuf, ReportError> {
    fs::create_dir_all(&options.out)?;
    let kept = options.out.join(FIGURES);
    // Read first, so that a damaged file doesn't cost the time of a run.
    let previous = match fs::read(&kept) {
        Ok(bytes) => Some(serde_json::from_slice::<Run>(&bytes)?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => return Err(error.into()),
    };
    let run = measure(options.short)?;
    for plot in run.groups.iter().flat_map(|group| &group.plots) {
        plot::draw(&options.out, plot).map_err(ReportError::Plot)?;
    }
    let page = options.out.join(PAGE);
    fs::write(&page, page::render(&run, previous.as_ref()))?;
    let mut figures = serde_json::to_vec_pretty(&run)?;
    figures.push(b'\n');
    fs::write(&kept, figures)?;
    Ok(page)
}

fn measure(short: bool) -> Result<Run, ReportError> {
    let steps = if short { 4 } else { 6 };
    let bar = ProgressBar::new(steps);
    let style = ProgressStyle::with_template("[{elapsed_precise}] {pos}/{len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(std::time::Duration::from_millis(200));
    let mut groups = Vec::new();

    bar.set_message("membership and dissemination");
    groups.push(rows::control(&control::run(true)));
    bar.inc(1);

    bar.set_message("spreading, by hosts");
    let mut cases = spread::scale(true);
    if !short {
        cases.extend(spread::faults(true));
        cases.extend(spread::designated_hosts(true));
    }
    groups.push(rows::spread(&cases, &spread::measure(&cases)));
    bar.inc(1);

    bar.set_message("the policy of requests");
    groups.push(rows::policy(&requests::policy(true)));
    bar.inc(1);

    bar.set_message("slopes of frames, links and state");
    groups.push(rows::slopes("parts", &slopes::parts(true)?));
    bar.inc(1);

    if !short {
        let runtime = tokio::runtime::Runtime::new()?;
        bar.set_message("requests through the daemons");
        groups.push(rows::live(&runtime.block_on(requests::live(true))?));
        bar.inc(1);
        bar.set_message("slopes of the daemons");
        let daemons = runtime.block_on(slopes::daemons(true))?;
        groups.push(rows::slopes("daemons", &daemons));
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(Run { short, groups })
}
