use super::{report::Report, sample::Outcome, summary::Summary};

const HEADER: &str = "| run | of | sent | good | not-run | failed | unknown | other | late | over ideal p50 / p99 / p99.9 | over fastest p50 / p99 | added ms p50 / p99 | refusal ms p99 |";
const HEADER_RULE: &str = "|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Formats reports as one Markdown table.
pub fn table(reports: &[Report]) -> String {
    let mut lines = vec![HEADER.to_owned(), HEADER_RULE.to_owned()];
    for report in reports {
        lines.push(row(&report.name, "all", &report.all));
        if report.classes.len() > 1 {
            lines.extend(report.classes.iter().map(|(name, s)| row(&report.name, name, s)));
        }
        if let Some(teams) = &report.teams {
            lines.push(row(&report.name, "watched team", &teams.watched));
            lines.push(row(&report.name, "other teams", &teams.others));
        }
        if let Some(phases) = &report.phases {
            lines.push(row(&report.name, "before the fault", &phases.before));
            lines.push(row(&report.name, "settling", &phases.settling));
            lines.push(row(&report.name, "after", &phases.after));
        }
    }
    for report in reports {
        let lag = &report.lag_ms;
        lines.push(format!("\n{}: sent {:.2} ms after the plan at p99", report.name, lag.p99));
        for peak in &report.peaks {
            let recovered =
                peak.recovered_s.map_or("never".to_owned(), |s| format!("after {s:.1} s"));
            lines.push(format!(
                "\n{}: at the crest {:.0} % of capacity useful, {:.0} good answers/s; normal again {recovered}",
                report.name,
                peak.useful * 100.0,
                peak.good
            ));
        }
    }
    lines.join("\n")
}

fn row(run: &str, of: &str, s: &Summary) -> String {
    let other = s.count(Outcome::Refused) + s.count(Outcome::Cut) + s.count(Outcome::Silent);
    format!(
        "| {run} | {of} | {} | {} | {} | {} | {} | {other} | {} | {:.3} / {:.2} / {:.2} | {:.2} / {:.2} | {:.2} / {:.2} | {:.1} |",
        s.sent,
        s.good,
        s.count(Outcome::NotRun),
        s.count(Outcome::Failed),
        s.count(Outcome::Unknown),
        s.late,
        s.over_ideal.p50,
        s.over_ideal.p99,
        s.over_ideal.p999,
        s.over_fastest.p50,
        s.over_fastest.p99,
        s.added_ms.p50,
        s.added_ms.p99,
        s.refusal_ms.p99,
    )
}
