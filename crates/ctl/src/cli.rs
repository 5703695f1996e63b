use bpaf::Bpaf;

/// Operate an egretshelf fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// URL of the platform
    #[bpaf(long, argument("URL"), env("EGRET_PLATFORM"), fallback("http://127.0.0.1:7000".to_owned()))]
    pub platform: String,
    /// URL of an entry
    #[bpaf(long, argument("URL"), env("EGRET_ENTRY"), fallback("http://127.0.0.1:7100".to_owned()))]
    pub entry: String,
    #[bpaf(external)]
    pub verb: Verb,
}

#[derive(Clone, Debug, Bpaf)]
pub enum Verb {
    /// Create a service
    #[bpaf(command("service-create"))]
    ServiceCreate {
        /// team that may call it; give one for each
        #[bpaf(long, argument("TEAM"))]
        team: Vec<String>,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the services
    #[bpaf(command("services"))]
    Services,
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
}
