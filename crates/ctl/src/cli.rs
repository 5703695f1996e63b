use bpaf::Bpaf;

use crate::{
    commands::{Grant, Setting},
    queries::{AgentFilter, Format, agent_filter, format},
};

/// Operate an egretshelf fleet
///
/// Commands make changes, queries only read. Every query accepts `--json`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Args {
    /// URL of the platform
    #[bpaf(long, argument("URL"), env("EGRET_PLATFORM"), fallback("http://127.0.0.1:7000".to_owned()))]
    pub platform: String,
    /// URL of an entry
    #[bpaf(long, argument("URL"), env("EGRET_ENTRY"), fallback("http://127.0.0.1:7100".to_owned()))]
    pub entry: String,
    /// fleet token, for `agents`, `entries`, `leased`, `jobs`, `racks`, `drained`, `backlog`,
    /// `confined`, `drain` and `undrain`
    #[bpaf(long, argument("TOKEN"), env("EGRET_TOKEN"), fallback(String::new()), hide_usage)]
    pub token: String,
    /// author recorded with a change; required for exceptions and confirmed losses
    #[bpaf(long, argument("NAME"), env("EGRET_AUTHOR"), optional)]
    pub author: Option<String>,
    /// change the configuration only if it is at this version
    #[bpaf(long, argument("VERSION"), optional)]
    pub expect: Option<u64>,
    #[bpaf(external)]
    pub subcommand: Subcommand,
}

const FOOTER: &str = "Examples:
  egretctl service-create ledger --team coop,weight=2,quota=500
  egretctl default-set deadline_ms=5000
  egretctl --author ana exception-add ledger slots=4 --reason 'old VM until March'
  egretctl exceptions --json
  egretctl submit ledger request.json

Exit codes: 0 success, 1 refused, 2 invalid command line, 3 the outcome is not `done`,
4 conflict with another change, 5 the platform or the entry is unreachable.";

#[derive(Clone, Debug, Bpaf)]
pub enum Subcommand {
    /// Create a service
    ///
    /// Example: egretctl service-create ledger --team coop --team mill,weight=2,quota=500
    #[bpaf(command("service-create"))]
    ServiceCreate {
        /// team that may call the service, with weight and quota (task starts per second); repeatable
        #[bpaf(long, argument::<Grant>("TEAM[,weight=N][,quota=N]"))]
        team: Vec<Grant>,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Add, change or remove teams of a service
    ///
    /// Example: egretctl service-change ledger --team mill,quota=800 --drop-team coop
    #[bpaf(command("service-change"))]
    ServiceChange {
        /// team to add or change; repeatable
        #[bpaf(long, argument::<Grant>("TEAM[,weight=N][,quota=N]"))]
        team: Vec<Grant>,
        /// team to remove; repeatable
        #[bpaf(long("drop-team"), argument("TEAM"))]
        dropped: Vec<String>,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Remove a service that has no exceptions left
    #[bpaf(command("service-remove"))]
    ServiceRemove {
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Set fleet-wide defaults
    ///
    /// Example: egretctl default-set deadline_ms=5000
    #[bpaf(command("default-set"))]
    DefaultSet {
        #[bpaf(positional::<Setting>("NAME=NUMBER"), some("name at least one setting"))]
        settings: Vec<Setting>,
    },
    /// Clear fleet-wide defaults
    ///
    /// The built-in values apply again.
    #[bpaf(command("default-clear"))]
    DefaultClear {
        #[bpaf(positional("NAME"), some("name at least one setting"))]
        names: Vec<String>,
    },
    /// Override defaults for a service, with a reason on record
    ///
    /// Example: egretctl --author ana exception-add ledger slots=4 --reason 'old VM until March'
    #[bpaf(command("exception-add"))]
    ExceptionAdd {
        /// reason, for the next operator on duty
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        reason: String,
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional::<Setting>("NAME=NUMBER"), some("name at least one setting"))]
        settings: Vec<Setting>,
    },
    /// Remove overrides, so that the defaults apply to a service again
    ///
    /// Example: egretctl exception-remove ledger slots
    #[bpaf(command("exception-remove"))]
    ExceptionRemove {
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("NAME"), some("name at least one setting"))]
        names: Vec<String>,
    },
    /// Confirm that agents are permanently lost, when the rest of a roster can't proceed
    ///
    /// Only when their VMs are known to be gone: if one still runs, work may start twice.
    /// Example: egretctl --author ana confirm-loss ledger agent-1 agent-2 --reason 'rack 3 burnt'
    #[bpaf(command("confirm-loss"))]
    ConfirmLoss {
        /// reason, for the next operator on duty
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        reason: String,
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("AGENT"), some("name at least one agent"))]
        agents: Vec<String>,
    },
    /// Show the roster of a service
    #[bpaf(command("roster"))]
    Roster {
        #[bpaf(external)]
        format: Format,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Stop an agent from accepting new work
    #[bpaf(command("drain"))]
    Drain {
        #[bpaf(positional("AGENT"))]
        agent: String,
    },
    /// Let a drained agent accept work again
    #[bpaf(command("undrain"))]
    Undrain {
        #[bpaf(positional("AGENT"))]
        agent: String,
    },
    /// Submit a request from a file
    #[bpaf(command("submit"))]
    Submit {
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Submit a job from a file
    #[bpaf(command("submit-job"))]
    SubmitJob {
        #[bpaf(positional("SERVICE"))]
        service: String,
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Cancel the tasks of a submission that have not started
    ///
    /// Example: egretctl cancel ledger --team coop --key harvest-1
    #[bpaf(command("cancel"))]
    Cancel {
        #[bpaf(long, argument("TEAM"))]
        team: String,
        #[bpaf(long, argument("KEY"))]
        key: String,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Show the state of a submission by its key
    #[bpaf(command("status"))]
    Status {
        #[bpaf(long, argument("TEAM"))]
        team: String,
        #[bpaf(long, argument("KEY"))]
        key: String,
        #[bpaf(external)]
        format: Format,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the services and their teams
    #[bpaf(command("services"))]
    Services {
        #[bpaf(external)]
        format: Format,
    },
    /// List the exceptions and their reasons
    #[bpaf(command("exceptions"))]
    Exceptions {
        #[bpaf(external)]
        format: Format,
    },
    /// List the effective settings of the fleet or of a service
    #[bpaf(command("defaults"))]
    Defaults {
        #[bpaf(external)]
        format: Format,
        #[bpaf(positional("SERVICE"), optional)]
        service: Option<String>,
    },
    /// List the agents known to an entry
    #[bpaf(command("agents"))]
    Agents {
        #[bpaf(external)]
        format: Format,
    },
    /// List the leased agents known to an entry, with the configuration version at each
    ///
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T leased --behind
    #[bpaf(command("leased"))]
    Leased {
        #[bpaf(external)]
        agent_filter: AgentFilter,
        #[bpaf(external)]
        format: Format,
    },
    /// List the jobs in progress at an entry that assigns tasks under leases
    ///
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T jobs --json
    #[bpaf(command("jobs"))]
    Jobs {
        #[bpaf(external)]
        format: Format,
    },
    /// List the racks with the highest pressure at an entry that assigns tasks under leases
    ///
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T racks
    #[bpaf(command("racks"))]
    Racks {
        #[bpaf(external)]
        format: Format,
    },
    /// List the drained data centres known to an entry, and what still runs there
    ///
    /// BUSY agents have runs on their backend servers, which use USED_CPU millicores.
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T drained
    #[bpaf(command("drained"))]
    Drained {
        #[bpaf(external)]
        format: Format,
    },
    /// List the jobs that wait at an entry by class, with the longest wait of each class
    ///
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T backlog
    #[bpaf(command("backlog"))]
    Backlog {
        #[bpaf(external)]
        format: Format,
    },
    /// List the queues that an entry confines to few agents, because their jobs crash backend
    /// servers
    ///
    /// `--entry` takes the metrics address of the entry.
    /// Example: egretctl --entry http://127.0.0.1:7102 --token T confined
    #[bpaf(command("confined"))]
    Confined {
        #[bpaf(external)]
        format: Format,
    },
    /// List the entries and the state that each reports
    #[bpaf(command("entries"))]
    Entries {
        #[bpaf(external)]
        format: Format,
    },
    /// List the changes to the configuration
    #[bpaf(command("history"))]
    History {
        #[bpaf(external)]
        format: Format,
    },
    /// Report the error budget burn rate of each service
    ///
    /// Example: egretctl burn --html burn.html
    #[bpaf(command("burn"))]
    Burn {
        /// also write an HTML page with a plot
        #[bpaf(long, argument("FILE"), optional)]
        html: Option<String>,
        #[bpaf(external)]
        format: Format,
    },
}
