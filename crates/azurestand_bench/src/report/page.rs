//! The page itself.

use std::fmt::Write;

use super::compare::{before, ratio};
use super::{Group, Run};

/// The page as Markdown; a figure that the run before lacked has a dash.
pub(super) fn render(run: &Run, previous: Option<&Run>) -> String {
    let mut page = String::from("# Measurements\n\nWritten by ");
    let flag = if run.short { " --short" } else { "" };
    let _ = writeln!(
        page,
        "`cargo run --release -p azurestand_bench -- report{flag}`: the benches in short form,\n\
         release build. \"Before\" is the run before on this page's folder, \"ratio\" the value\n\
         over it. Time and processor time differ from run to run with what else the machine\n\
         does; counts and virtual time don't."
    );
    for group in &run.groups {
        section(&mut page, group, previous);
    }
    page
}

fn section(page: &mut String, group: &Group, previous: Option<&Run>) {
    let _ = writeln!(page, "\n## {}\n", group.title);
    let _ = writeln!(
        page,
        "At full length: `cargo bench -p azurestand_bench --bench {}`.\n",
        group.bench
    );
    for plot in &group.plots {
        let _ = writeln!(page, "![{}]({}.svg)\n", plot.title, plot.file);
    }
    page.push_str("| figure | unit | value | before | ratio |\n|---|---|---:|---:|---:|\n");
    for figure in &group.figures {
        let then = before(previous, group, figure);
        let ratio = then.and_then(|then| ratio(figure.value, then));
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            figure.name,
            figure.unit,
            number(Some(figure.value)),
            number(then),
            ratio.map_or_else(|| "–".to_owned(), |ratio| format!("{ratio:.2}"))
        );
    }
}

fn number(value: Option<f64>) -> String {
    match value {
        None => "–".to_owned(),
        Some(value) if value.abs() >= 100.0 => format!("{value:.0}"),
        Some(value) if value.abs() >= 1.0 => format!("{value:.2}"),
        Some(value) => format!("{value:.4}"),
    }
}
