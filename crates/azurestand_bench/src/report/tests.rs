//! The page beside the run before, damaged figures included.

use super::page::render;
use super::{Figure, Group, Options, ReportError, Run, write};

fn run(unit: &str, value: f64) -> Run {
    let figure = Figure {
        name: "a call".to_owned(),
        unit: unit.to_owned(),
        value,
    };
    let group = Group {
        title: "Calls".to_owned(),
        bench: "requests".to_owned(),
        figures: vec![figure],
        plots: Vec::new(),
    };
    Run {
        short: true,
        groups: vec![group],
    }
}

#[test]
fn a_figure_stands_beside_the_one_before() {
    let page = render(&run("ms", 3.0), Some(&run("ms", 2.0)));
    assert!(
        page.contains("| a call | ms | 3.00 | 2.00 | 1.50 |"),
        "{page}"
    );
}

#[test]
fn a_figure_of_another_unit_or_of_nothing_has_no_ratio() {
    let other = render(&run("ms", 3.0), Some(&run("s", 2.0)));
    assert!(other.contains("| a call | ms | 3.00 | – | – |"), "{other}");
    let nothing = render(&run("ms", 3.0), Some(&run("ms", 0.0)));
    assert!(
        nothing.contains("| a call | ms | 3.00 | 0.0000 | – |"),
        "{nothing}"
    );
}

#[test]
fn damaged_figures_are_told_before_anything_is_measured() {
    let folder = std::env::temp_dir().join(format!("azurestand-report-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("report.json"), b"{").unwrap();
    let options = Options {
        out: folder.clone(),
        short: true,
    };
    let refused = write(&options);
    std::fs::remove_dir_all(folder).unwrap();
    assert!(
        matches!(refused, Err(ReportError::Previous(_))),
        "{refused:?}"
    );
}
