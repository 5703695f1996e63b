use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bpaf::Bpaf;
use eyre::{Result, WrapErr, bail};

use super::{
    driver::drive,
    plot::{Kind, kind, plot},
    report::{Phases, Report},
    table::table,
    targets::targets,
    workload::Workload,
};

/// Send a seeded workload to entries and report the results
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    #[bpaf(external)]
    subcommand: Subcommand,
}

#[derive(Clone, Debug, Bpaf)]
enum Subcommand {
    /// Run a workload and write its report
    #[bpaf(command("run"))]
    Run {
        /// loopback address of an entry; give one for each
        #[bpaf(long, argument("ADDRESS"), some("name at least one entry"))]
        entry: Vec<SocketAddr>,
        /// name of the run
        #[bpaf(long, argument("NAME"), fallback("run".to_owned()))]
        name: String,
        /// report to write
        #[bpaf(long, argument("FILE"))]
        out: Option<PathBuf>,
        #[bpaf(external)]
        changes: Changes,
        #[bpaf(external, optional)]
        fault: Option<Fault>,
        /// workload, as JSON
        #[bpaf(positional("WORKLOAD"))]
        workload: PathBuf,
    },
    /// Print reports as a table
    #[bpaf(command("table"))]
    Table {
        #[bpaf(positional("REPORT"), some("name at least one report"))]
        reports: Vec<PathBuf>,
    },
    /// Compare the reports in a folder with the targets
    #[bpaf(command("targets"))]
    Targets {
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Draw reports as an SVG plot
    #[bpaf(command("plot"))]
    Plot {
        #[bpaf(external)]
        kind: Kind,
        /// class to draw; all classes if absent
        #[bpaf(long, argument("CLASS"))]
        class: Option<String>,
        /// plot to write
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        #[bpaf(positional("REPORT"), some("name at least one report"))]
        reports: Vec<PathBuf>,
    },
}

/// Changes to the workload file
#[derive(Clone, Debug, Bpaf)]
struct Changes {
    /// speed of a backend server; give one for each
    #[bpaf(long, argument("FACTOR"), many)]
    speed: Vec<f64>,
    /// seed of the workload
    #[bpaf(long, argument("NUMBER"))]
    seed: Option<u64>,
    /// time over which arrivals are spread, seconds
    #[bpaf(long, argument("SECONDS"))]
    seconds: Option<f64>,
    /// one-way delay between callers and entries, milliseconds
    #[bpaf(long, argument("MS"))]
    delay: Option<f64>,
    /// team whose rate is multiplied, with the rates of the others unchanged; reported separately
    #[bpaf(long, argument("TEAM"))]
    boost: Option<String>,
    /// factor of `--boost`
    #[bpaf(long, argument("FACTOR"), fallback(10.0))]
    factor: f64,
    /// class to leave out, with the rates of the others unchanged
    #[bpaf(long, argument("CLASS"))]
    without: Option<String>,
}

/// Time of a fault made by another program, to report before and after separately
#[derive(Clone, Debug, Bpaf)]
struct Fault {
    /// time of the fault, seconds from the start of the run
    #[bpaf(long, argument("SECONDS"))]
    fault_at: f64,
    /// time by which the system should have recovered, seconds from the start of the run
    #[bpaf(long, argument("SECONDS"))]
    settled_at: f64,
}

/// Parses the command line and runs one command.
pub fn run() -> Result<()> {
    match args().run().subcommand {
        Subcommand::Run { entry, name, out, changes, fault, workload } => {
            let workload = read_workload(&workload, changes)?;
            let report = run_workload(name, workload, fault, &entry)?;
            if let Some(out) = out {
                fs::write(&out, serde_json::to_string(&report)?)
                    .wrap_err_with(|| format!("can't write {}", out.display()))?;
            }
            println!("{}", table(&[report]));
        }
        Subcommand::Table { reports } => println!("{}", table(&read_reports(&reports)?)),
        Subcommand::Targets { folder } => println!("{}", targets(&folder)),
        Subcommand::Plot { kind, class, out, reports } => {
            plot(kind, class.as_deref(), &read_reports(&reports)?, &out)?;
        }
    }
    Ok(())
}

fn run_workload(
    name: String,
    workload: Workload,
    fault: Option<Fault>,
    entries: &[SocketAddr],
) -> Result<Report> {
    if let Some(address) = entries.iter().find(|a| !a.ip().is_loopback()) {
        bail!("{address} is not on loopback: this tool sends load to loopback addresses only");
    }
    let urls = entries.iter().map(|a| format!("http://{a}")).collect();
    let samples = actix_web::rt::System::new().block_on(drive(workload.clone(), urls));
    let phases = fault.map(|f| Phases::new(&workload, &samples, f.fault_at, f.settled_at));
    Ok(Report { phases, ..Report::new(name, workload, &samples) })
}

fn read_workload(path: &Path, changes: Changes) -> Result<Workload> {
    let mut workload: Workload = read(path)?;
    changes.apply(&mut workload);
    if let Some(fault) = workload.fault() {
        bail!("{}: {fault}", path.display());
    }
    Ok(workload)
}

impl Changes {
    fn apply(self, workload: &mut Workload) {
        if !self.speed.is_empty() {
            workload.speeds = self.speed;
        }
        workload.seed = self.seed.unwrap_or(workload.seed);
        workload.seconds = self.seconds.unwrap_or(workload.seconds);
        workload.delay_ms = self.delay.unwrap_or(workload.delay_ms);
        if let Some(team) = self.boost {
            workload.boost_team(&team, self.factor);
        }
        if let Some(class) = self.without {
            workload.remove_class(&class);
        }
    }
}

fn read_reports(paths: &[PathBuf]) -> Result<Vec<Report>> {
    paths.iter().map(|path| read(path)).collect()
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("can't read {}", path.display()))
}
