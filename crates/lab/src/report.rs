//! Results of a run: a JSON file and a plot.

use crate::load::run::{Histogram64, LatencySummary, LoadResult};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);
/// Points of a latency curve.
const CURVE_POINTS: u32 = 200;

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file could not be written.
    #[error("cannot write {path}")]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The result has no JSON form.
    #[error("cannot encode the result")]
    Encode(#[from] serde_json::Error),
    /// The plot could not be drawn.
    #[error("cannot draw {path}: {reason}")]
    Draw {
        /// The file.
        path: PathBuf,
        /// What the library said.
        reason: String,
    },
}

/// Summary of one load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSummary {
    /// Statements answered a second.
    pub statements_per_second: f64,
    /// Answered reads, microseconds.
    pub reads: LatencySummary,
    /// Answered writes, microseconds.
    pub writes: LatencySummary,
    /// By priority class, microseconds.
    pub by_class: BTreeMap<String, LatencySummary>,
    /// Operations by how they ended.
    pub ended: BTreeMap<String, u64>,
    /// Rules that callers saw broken.
    pub violations: usize,
}

impl LoadSummary {
    /// Sums a run up.
    #[must_use]
    pub fn of(result: &LoadResult) -> Self {
        let seconds = result.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let by_class = result.by_class.iter();
        Self {
            statements_per_second: result.statements as f64 / seconds,
            reads: result.reads.summary(),
            writes: result.writes.summary(),
            by_class: by_class.map(|(class, times)| (class.clone(), times.summary())).collect(),
            ended: result.ended.clone(),
            violations: result.violations.len(),
        }
    }
}

/// Writes a value as indented JSON.
///
/// # Errors
/// [`ReportError`] when it has no JSON form or the file cannot be written.
pub fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), ReportError> {
    let text = serde_json::to_string_pretty(value)?;
    let failed = |source| ReportError::Write { path: path.to_owned(), source };
    std::fs::write(path, text + "\n").map_err(failed)
}

/// Draws latency over quantile for several runs, as SVG.
///
/// # Errors
/// [`ReportError::Draw`] with what the library said.
pub fn draw_latency(
    path: &Path,
    title: &str,
    curves: &[(&str, &Histogram64)],
) -> Result<(), ReportError> {
    let series = curves.iter().map(|(name, times)| ((*name).to_owned(), latency_curve(times)));
    let axes = Axes { title, x: "quantile, percent", y: "latency, ms" };
    draw_lines(path, &axes, &series.collect::<Vec<_>>())
}

fn latency_curve(times: &Histogram64) -> Vec<(f64, f64)> {
    let point = |step: u32| {
        let quantile = f64::from(step) / f64::from(CURVE_POINTS);
        (quantile * 100.0, times.0.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    (0..CURVE_POINTS).map(point).collect()
}

/// Words on a plot.
#[derive(Clone, Copy, Debug)]
pub struct Axes<'a> {
    /// Title.
    pub title: &'a str,
    /// Horizontal axis with its unit.
    pub x: &'a str,
    /// Vertical axis with its unit.
    pub y: &'a str,
}

/// Draws named lines, as SVG.
///
/// # Errors
/// [`ReportError::Draw`] with what the library said.
pub fn draw_lines(
    path: &Path,
    axes: &Axes<'_>,
    lines: &[(String, Vec<(f64, f64)>)],
) -> Result<(), ReportError> {
    let failed = |error: &dyn std::fmt::Display| ReportError::Draw {
        path: path.to_owned(),
        reason: error.to_string(),
    };
    try_draw(path, axes, lines).map_err(|error| failed(&error))
}

fn try_draw(
    path: &Path,
    axes: &Axes<'_>,
    lines: &[(String, Vec<(f64, f64)>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, line)| line.iter());
    let right = points().map(|point| point.0).fold(f64::MIN_POSITIVE, f64::max);
    let top = points().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(axes.title, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).draw()?;
    for (number, (name, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let series = LineSeries::new(line.iter().copied(), color.stroke_width(2));
        chart.draw_series(series)?.label(name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 20, y)], color.stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    root.present()?;
    Ok(())
}
