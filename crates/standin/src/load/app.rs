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
    report::Report,
    table::table,
    workload::Workload,
};

/// Drive entries with a seeded workload, and show what came of it
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    #[bpaf(external)]
    verb: Verb,
}

#[derive(Clone, Debug, Bpaf)]
enum Verb {
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
    /// Draw reports as an SVG plot
    #[bpaf(command("plot"))]
    Plot {
        #[bpaf(external)]
        kind: Kind,
        /// class to draw, in place of all
        #[bpaf(long, argument("CLASS"))]
        class: Option<String>,
        /// plot to write
        #[bpaf(long, argument("FILE"))]
        out: PathBuf,
        #[bpaf(positional("REPORT"), some("name at least one report"))]
        reports: Vec<PathBuf>,
    },
}

/// Carries out one command.
pub fn run() -> Result<()> {
    match args().run().verb {
        Verb::Run { entry, name, out, workload } => {
            let workload = read_workload(&workload)?;
            let report = run_workload(name, workload, &entry)?;
            if let Some(out) = out {
                fs::write(&out, serde_json::to_string(&report)?)
                    .wrap_err_with(|| format!("can't write {}", out.display()))?;
            }
            println!("{}", table(&[report]));
        }
        Verb::Table { reports } => println!("{}", table(&read_reports(&reports)?)),
        Verb::Plot { kind, class, out, reports } => {
            plot(kind, class.as_deref(), &read_reports(&reports)?, &out)?;
        }
    }
    Ok(())
}

fn run_workload(name: String, workload: Workload, entries: &[SocketAddr]) -> Result<Report> {
    if let Some(address) = entries.iter().find(|a| !a.ip().is_loopback()) {
        bail!("{address} is not on loopback: this tool sends load nowhere else");
    }
    let urls = entries.iter().map(|a| format!("http://{a}")).collect();
    let samples = actix_web::rt::System::new().block_on(drive(workload.clone(), urls));
    Ok(Report::new(name, workload, &samples))
}

fn read_workload(path: &Path) -> Result<Workload> {
    let workload: Workload = read(path)?;
    if let Some(fault) = workload.fault() {
        bail!("{}: {fault}", path.display());
    }
    Ok(workload)
}

fn read_reports(paths: &[PathBuf]) -> Result<Vec<Report>> {
    paths.iter().map(|path| read(path)).collect()
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("can't read {}", path.display()))
}
