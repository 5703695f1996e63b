use std::{error::Error as StdError, fmt::Write};

use base::Utc;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

use crate::{Error, Goal, MINUTE_MS, Objective, Report, Result};

const PLOT_SIZE_PX: (u32, u32) = (900, 320);
/// Period that one point of the plot covers.
const STEP_MS: u64 = 5 * MINUTE_MS;
/// Lower bound on the top of the plot, so that it always shows the rate 1 that spends the
/// budget in full.
const MIN_TOP: f64 = 1.5;

/// The report as one self-contained HTML page.
///
/// # Errors
/// When the plot can't be drawn.
pub fn html_page(report: &Report) -> Result<String> {
    let plot = plot(report).map_err(|e| Error::Plot(e.to_string()))?;
    let text = write_page(report, &plot).map_err(|e| Error::Plot(e.to_string()))?;
    Ok(text)
}

fn write_page(report: &Report, plot: &str) -> std::result::Result<String, std::fmt::Error> {
    let mut out = String::new();
    let (from, to) = (Utc(report.from_ms), Utc(report.to_ms));
    writeln!(out, "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>")?;
    writeln!(
        out,
        "<style>body{{font-family:sans-serif}}td,th{{padding:.2em .8em;text-align:left}}"
    )?;
    writeln!(out, ".fast{{color:#b00}}.slow{{color:#b60}}</style>")?;
    writeln!(out, "<h1>Service-level burn</h1><p>{from} to {to}. A rate of 1 spends the error ")?;
    writeln!(out, "budget just in full; more spends it early.</p>{plot}<table><tr>")?;
    let titles =
        ["service", "goal", "objective", "answers", "5 min", "1 h", "30 min", "6 h", "state"];
    titles.iter().try_for_each(|title| write!(out, "<th>{title}"))?;
    for row in &report.rows {
        let (state, share) = (row.state.as_str(), row.objective_ppm as f64 / 1e4);
        write!(
            out,
            "\n<tr class=\"{state}\"><td>{}<td>{}",
            escape(&row.service),
            row.goal.as_str()
        )?;
        write!(out, "<td>{share} %<td>{}", row.answers)?;
        let r = row.rates;
        for rate in [r.minutes_5, r.hours_1, r.minutes_30, r.hours_6] {
            write!(out, "<td>{}", rate.map_or("-".to_owned(), |r| format!("{r:.2}")))?;
        }
        write!(out, "<td>{state}")?;
    }
    writeln!(out, "</table><h2>Missing</h2>")?;
    if report.missing.is_empty() {
        writeln!(out, "<p>Nothing is missing.</p>")?;
    }
    for gap in &report.missing {
        let entry = escape(&gap.entry);
        writeln!(out, "<p>{entry}: {} to {}</p>", Utc(gap.from_ms), Utc(gap.to_ms))?;
    }
    Ok(out)
}

fn plot(report: &Report) -> std::result::Result<String, Box<dyn StdError>> {
    let lines: Vec<_> = report
        .objectives
        .iter()
        .flat_map(|(service, objective)| Goal::ALL.map(|goal| (service, *objective, goal)))
        .map(|(service, objective, goal)| {
            (format!("{service} {}", goal.as_str()), points(report, service, objective, goal))
        })
        .collect();
    let top = lines.iter().flat_map(|(_, p)| p).map(|(_, rate)| *rate).fold(MIN_TOP, f64::max);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(-6.0..0.0, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc("hours before now").y_desc("burn rate").draw()?;
        for (i, (name, points)) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?.label(name).legend(
                move |(x, y)| {
                    plotters::element::PathElement::new(vec![(x, y), (x + 15, y)], colour)
                },
            );
        }
        chart.configure_series_labels().border_style(WHITE).background_style(WHITE).draw()?;
        root.present()?;
    }
    Ok(svg)
}

/// Burn rate at each step, by hours before the end.
fn points(report: &Report, service: &str, objective: Objective, goal: Goal) -> Vec<(f64, f64)> {
    let steps = (report.to_ms - report.from_ms) / STEP_MS;
    let point = |step: u64| {
        let from = report.from_ms + step * STEP_MS;
        let count = report.count(service, from, from + STEP_MS - MINUTE_MS);
        let hours = (report.to_ms - from) as f64 / crate::HOUR_MS as f64;
        Some((-hours, objective.rate(goal, count)?))
    };
    (0..steps).filter_map(point).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
