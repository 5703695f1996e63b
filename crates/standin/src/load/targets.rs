use std::{fs, path::Path};

use super::{
    report::{Peak, Report},
    sample::Outcome,
    summary::Summary,
};

const BASELINES: [&str; 3] = ["random", "round-robin", "least-outstanding"];
/// Factor within which a value counts as unchanged.
const TOLERANCE: f64 = 1.1;

/// One target and the figure measured for it.
struct Row {
    scenario: &'static str,
    target: &'static str,
    figure: String,
    baselines: String,
    met: bool,
}

/// Formats the targets covered by the reports of a folder as a Markdown table.
pub fn targets(folder: &Path) -> String {
    let reports = Reports { folder };
    let groups = [
        reports.idle(),
        reports.mixed(),
        reports.short_beside_long(),
        reports.peak("crest", "crest"),
        reports.peak("crest-outage", "crest, store down and a rack lost"),
        reports.failing(),
        reports.lost("frozen"),
        reports.lost("killed"),
        reports.teams(),
        reports.cancel(),
    ];
    let mut lines = vec![
        "| scenario | target | measured | baselines | met |".to_owned(),
        "|---|---|---|---|---|".to_owned(),
    ];
    lines.extend(groups.into_iter().flatten().flatten().map(|r| r.line()));
    lines.join("\n")
}

impl Row {
    fn line(&self) -> String {
        let met = if self.met { "yes" } else { "no" };
        let Row { scenario, target, figure, baselines, .. } = self;
        format!("| {scenario} | {target} | {figure} | {baselines} | {met} |")
    }
}

struct Reports<'a> {
    folder: &'a Path,
}

impl Reports<'_> {
    fn read(&self, name: &str) -> Option<Report> {
        let text = fs::read_to_string(self.folder.join(format!("{name}.json"))).ok()?;
        serde_json::from_str(&text).ok()
    }

    /// A figure of each baseline with a report.
    fn baselines(&self, name: &str, of: impl Fn(&Report) -> f64) -> Vec<(&'static str, f64)> {
        let read = |pick| Some((pick, of(&self.read(&format!("{name}-{pick}"))?)));
        BASELINES.into_iter().filter_map(read).collect()
    }

    fn idle(&self) -> Option<Vec<Row>> {
        let added = self.read("idle")?.all.added_ms;
        Some(vec![row(
            "idle",
            "added time p50 ≤ 1 ms, p99 ≤ 3 ms",
            format!("{:.2} ms, {:.2} ms", added.p50, added.p99),
            added.p50 <= 1.0 && added.p99 <= 3.0,
        )])
    }

    fn mixed(&self) -> Option<Vec<Row>> {
        let over = self.read("mixed60")?.all.over_ideal;
        let p99 = self.baselines("mixed60", |r| r.all.over_ideal.p99);
        let p50 = self.baselines("mixed60", |r| r.all.over_ideal.p50);
        let best = p99.iter().map(|b| b.1).fold(f64::INFINITY, f64::min);
        let half = !p99.is_empty() && over.p99 <= best / 2.0;
        Some(vec![
            Row {
                baselines: list(&p50),
                ..row(
                    "mixed60",
                    "response over ideal p50 ≤ 1.05",
                    format!("{:.3}", over.p50),
                    over.p50 <= 1.05,
                )
            },
            Row {
                baselines: list(&p99),
                ..row(
                    "mixed60",
                    "p99 ≤ 2.0, and at most half of the best baseline",
                    format!("{:.2}", over.p99),
                    over.p99 <= 2.0 && half,
                )
            },
        ])
    }

    fn short_beside_long(&self) -> Option<Vec<Row>> {
        let report = self.read("shortlong")?;
        let alone = self.read("shortlong-alone")?.all.response_ms.p99;
        let without = self.read("shortlong-without")?.all.response_ms.p99;
        let short = report.classes.get("price")?.response_ms.p99;
        let long = report.classes.get("order")?;
        let of_short = |r: &Report| r.classes.get("price").map_or(0.0, |s| s.response_ms.p99);
        Some(vec![
            Row {
                baselines: list(&self.baselines("shortlong", of_short)),
                ..row(
                    "shortlong",
                    "p99 of short work ≤ 1.5 × the p99 without long work at the same load",
                    format!(
                        "{short:.0} ms; alone {alone:.0} ms at 70 %, {without:.0} ms at its own rate"
                    ),
                    short <= 1.5 * alone,
                )
            },
            row(
                "shortlong",
                "long work still ends",
                format!("{} of {} done", long.count(Outcome::Done), long.sent),
                long.count(Outcome::Done) == long.sent,
            ),
        ])
    }

    fn peak(&self, name: &'static str, scenario: &'static str) -> Option<Vec<Row>> {
        let report = self.read(name)?;
        let peak = report.peaks.first()?;
        let of_peak = |r: &Report| r.peaks.first().map_or(0.0, |c: &Peak| c.useful);
        let all = &report.all;
        let back = peak.recovered_s.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        Some(vec![
            Row {
                baselines: list(&self.baselines(name, of_peak)),
                ..row(
                    scenario,
                    "goodput within deadline ≥ 95 % of capacity",
                    format!("{:.1} %", peak.useful * 100.0),
                    peak.useful >= 0.95,
                )
            },
            row(
                scenario,
                "refusals p99 ≤ 20 ms",
                format!("{:.1} ms of {}", all.refusal_ms.p99, all.count(Outcome::NotRun)),
                all.refusal_ms.p99 <= 20.0,
            ),
            row(
                scenario,
                "none answered after its deadline",
                format!(
                    "{} done or failed late; {} unknown",
                    all.late,
                    all.count(Outcome::Unknown)
                ),
                all.late == 0,
            ),
            row(
                scenario,
                "normal again within 2 s of the end",
                back,
                peak.recovered_s.is_some_and(|s| s <= 2.0),
            ),
        ])
    }

    fn failing(&self) -> Option<Vec<Row>> {
        let after = self.read("failing")?.phases?.after;
        let share = after.count(Outcome::Failed) as f64 / after.sent.max(1) as f64;
        Some(vec![row(
            "failing",
            "after 2 s at most 1 % of requests fail",
            format!("{:.2} %", share * 100.0),
            share <= 0.01,
        )])
    }

    fn lost(&self, name: &'static str) -> Option<Vec<Row>> {
        let phases = self.read(name)?.phases?;
        let (before, after) = (phases.before.over_ideal.p99, phases.after.over_ideal.p99);
        let not_done = after_not_done(&phases.after);
        Some(vec![row(
            name,
            "p99 of the rest back within 3 s",
            format!("{before:.2} before, {after:.2} from 3 s on; {not_done} not done"),
            after <= before * TOLERANCE && not_done == 0,
        )])
    }

    fn teams(&self) -> Option<Vec<Row>> {
        let even = self.read("teams-even")?.teams?.others.over_ideal.p99;
        let boosted = self.read("teams-boosted")?.teams?;
        let others = boosted.others.over_ideal.p99;
        let refused = boosted.others.count(Outcome::NotRun);
        Some(vec![row(
            "teams",
            "one team at 10 × its quota: p99 of the others within 10 %",
            format!(
                "over ideal {even:.2} before, {others:.2} beside it; {refused} of theirs refused"
            ),
            others <= even * TOLERANCE && refused == 0,
        )])
    }

    fn cancel(&self) -> Option<Vec<Row>> {
        let report = self.read("cancel")?;
        let before = self.read("cancel-without")?.classes.get("balance")?.response_ms.p99;
        let beside = report.classes.get("balance")?.response_ms.p99;
        let wave = report.classes.get("wave")?;
        Some(vec![row(
            "cancel",
            "10,000 cancellations in a second: p99 of other work within 20 %",
            format!("{before:.0} ms before, {beside:.0} ms beside it; wave {:?}", wave.ended),
            beside <= before * 1.2,
        )])
    }
}

fn row(scenario: &'static str, target: &'static str, figure: String, met: bool) -> Row {
    Row { scenario, target, figure, baselines: String::new(), met }
}

fn list(baselines: &[(&str, f64)]) -> String {
    let each: Vec<String> = baselines.iter().map(|(name, x)| format!("{name} {x:.2}")).collect();
    each.join(", ")
}

fn after_not_done(after: &Summary) -> usize {
    after.sent - after.count(Outcome::Done)
}
