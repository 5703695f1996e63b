use std::path::Path;

use bpaf::Bpaf;
use eyre::{Result, eyre};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};

use super::{report::Report, timeline::Bucket};

const SIZE: (u32, u32) = (900, 420);
const MARGIN: u32 = 12;
const LABEL: u32 = 48;

/// Quantity to plot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
pub enum Kind {
    /// useful share of the capacity over time
    Useful,
    /// p99 of response over ideal time, over time
    Over,
    /// response over ideal time, by percentile
    Percentiles,
}

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws one line for each report.
pub fn plot(kind: Kind, class: Option<&str>, reports: &[Report], out: &Path) -> Result<()> {
    let lines: Vec<Line> = reports.iter().map(|r| line(kind, class, r)).collect();
    let root = SVGBackend::new(out, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|l| &l.points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(kind.title(), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL)
        .y_label_area_size(LABEL)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc(kind.x_label())
        .y_label_formatter(&|y| kind.y_label(*y))
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], Palette99::pick(i)));
    }
    let labels = &mut chart.configure_series_labels();
    labels.position(SeriesLabelPosition::UpperLeft).border_style(BLACK).draw()?;
    root.present().map_err(|e| eyre!("can't write {}: {e}", out.display()))
}

impl Kind {
    fn title(self) -> &'static str {
        match self {
            Kind::Useful => "useful run time within deadline, share of capacity",
            Kind::Over => "p99 of response over ideal (log scale)",
            Kind::Percentiles => "response over ideal by percentile (log scale)",
        }
    }

    fn x_label(self) -> &'static str {
        match self {
            Kind::Useful | Kind::Over => "seconds",
            Kind::Percentiles => "nines: 1 is p90, 2 is p99, 3 is p99.9",
        }
    }

    fn y_label(self, y: f64) -> String {
        match self {
            Kind::Useful => format!("{y:.1}"),
            Kind::Over | Kind::Percentiles => format!("{:.1}", 10_f64.powf(y)),
        }
    }
}

fn line(kind: Kind, class: Option<&str>, report: &Report) -> Line {
    let over_time = |of: fn(&Bucket) -> f64| report.timeline.iter().map(move |b| (b.at, of(b)));
    let points = match kind {
        Kind::Useful => over_time(|b| b.useful).collect(),
        Kind::Over => over_time(|b| b.over_p99.max(1.0).log10()).collect(),
        Kind::Percentiles => {
            let summary = class.and_then(|c| report.classes.get(c)).unwrap_or(&report.all);
            let curve = summary.over_ideal.curve.iter().filter(|p| p.share < 1.0);
            curve.map(|p| (-(1.0 - p.share).log10(), p.value.max(1.0).log10())).collect()
        }
    };
    Line { name: report.name.clone(), points }
}
