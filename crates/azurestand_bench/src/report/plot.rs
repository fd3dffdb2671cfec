//! Draws series as SVG.

use std::fmt::Display;
use std::path::Path;

use plotters::prelude::*;

use super::Plot;

const SIZE: (u32, u32) = (720, 360);
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 80),
    RGBColor(140, 60, 140),
    RGBColor(90, 90, 90),
];

fn text<E>(error: E) -> String
where
    E: Display,
{
    error.to_string()
}

/// Writes `plot` into `folder`.
pub(super) fn draw(folder: &Path, plot: &Plot) -> Result<(), String> {
    let path = folder.join(format!("{}.svg", plot.file));
    let root = SVGBackend::new(&path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(text)?;
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let right = points().map(|point| point.x).fold(1.0, f64::max);
    let top = points().map(|point| point.y).fold(0.0, f64::max).max(1e-9);
    let mut chart = ChartBuilder::on(&root)
        .caption(&plot.title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)
        .map_err(text)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(&plot.across).draw().map_err(text)?;
    for (series, colour) in plot.series.iter().zip(COLOURS.iter().cycle()) {
        let style = ShapeStyle::from(colour).stroke_width(2);
        let places: Vec<_> = series.points.iter().map(|p| (p.x, p.y)).collect();
        let line = LineSeries::new(places, style).point_size(3);
        let drawn = chart.draw_series(line).map_err(text)?;
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style);
        drawn.label(&series.name).legend(key);
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE).border_style(BLACK);
    legend.draw().map_err(text)?;
    root.present().map_err(text)
}
