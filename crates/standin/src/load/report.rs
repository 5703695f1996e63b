use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    percentiles::Percentiles,
    sample::Sample,
    summary::Summary,
    timeline::{Bucket, timeline},
    workload::{Swing, Workload},
};

/// Everything measured in one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    pub workload: Workload,
    pub all: Summary,
    pub classes: BTreeMap<String, Summary>,
    pub teams: Option<Teams>,
    #[serde(rename = "crests")]
    pub peaks: Vec<Peak>,
    pub phases: Option<Phases>,
    /// how much later than intended this tool itself sent
    pub lag_ms: Percentiles,
    pub timeline: Vec<Bucket>,
}

/// One team, reported separately from the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Teams {
    pub watched: Summary,
    pub others: Summary,
}

/// The run before and after a fault made by another program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Phases {
    /// sent before the fault
    pub before: Summary,
    /// sent before the time by which the system should have recovered
    pub settling: Summary,
    /// sent after that
    pub after: Summary,
}

/// One swing: its peak, and the recovery after it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Peak {
    /// useful run time over what the backend servers can do
    pub useful: f64,
    /// answers within their deadline a second
    pub good: f64,
    /// from the end of the swing until every later bucket is as good as the
    /// worst one before the swing; `None` if that never happens
    pub recovered_s: Option<f64>,
}

impl Report {
    pub fn new(name: String, workload: Workload, samples: &[Sample]) -> Self {
        let timeline = timeline(&workload, samples);
        let classes = workload.classes.iter().enumerate().map(|(i, class)| {
            let of = samples.iter().filter(|s| s.class == i);
            (class.name.clone(), Summary::new(&workload, of))
        });
        Self {
            name,
            all: Summary::new(&workload, samples.iter()),
            classes: classes.collect(),
            teams: Teams::new(&workload, samples),
            peaks: workload.swings.iter().map(|s| Peak::new(s, &workload, &timeline)).collect(),
            phases: None,
            lag_ms: Percentiles::new(samples.iter().map(|s| s.lag_ms)),
            timeline,
            workload,
        }
    }
}

impl Teams {
    fn new(workload: &Workload, samples: &[Sample]) -> Option<Self> {
        let watched = workload.watched.as_ref()?;
        let is_watched = |s: &&Sample| &workload.teams[s.team].name == watched;
        Some(Self {
            watched: Summary::new(workload, samples.iter().filter(is_watched)),
            others: Summary::new(workload, samples.iter().filter(|s| !is_watched(s))),
        })
    }
}

impl Phases {
    /// Splits a run at the time of a fault and at the time of its expected recovery.
    pub fn new(workload: &Workload, samples: &[Sample], at: f64, settled: f64) -> Self {
        let sent = |from: f64, until: f64| {
            let within = samples.iter().filter(move |s| (from..until).contains(&s.at));
            Summary::new(workload, within)
        };
        Self {
            before: sent(0.0, at),
            settling: sent(at, settled),
            after: sent(settled, f64::INFINITY),
        }
    }
}

impl Peak {
    fn new(swing: &Swing, workload: &Workload, timeline: &[Bucket]) -> Self {
        let peak = swing.peak();
        let at_peak: Vec<&Bucket> = timeline.iter().filter(|b| peak.contains(&b.at)).collect();
        let mean = |of: fn(&Bucket) -> f64| {
            at_peak.iter().map(|b| of(b)).sum::<f64>() / at_peak.len().max(1) as f64
        };
        Self {
            useful: mean(|b| b.useful),
            good: mean(|b| b.good),
            recovered_s: recovery(swing, workload, timeline),
        }
    }
}

fn recovery(swing: &Swing, workload: &Workload, timeline: &[Bucket]) -> Option<f64> {
    let before = timeline.iter().filter(|b| b.at + super::timeline::BUCKET_S <= swing.at_s);
    let (over, missed) = before
        .fold((0.0_f64, 0.0_f64), |(over, missed), b| (over.max(b.over_p99), missed.max(b.missed)));
    let mut after = timeline.iter().filter(|b| b.at >= swing.end() && b.at < workload.seconds);
    let last_bad = after.clone().rfind(|b| b.over_p99 > over || b.missed > missed);
    let last = after.next_back()?;
    match last_bad {
        None => Some(0.0),
        Some(bad) if bad.at >= last.at => None,
        Some(bad) => Some(bad.at + super::timeline::BUCKET_S - swing.end()),
    }
}
