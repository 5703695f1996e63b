use bpaf::{Bpaf, Parser};

/// Command line arguments of a daemon.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// settings file in JSON
    #[bpaf(short, long, argument("FILE"))]
    pub settings: String,
    /// check the settings file and exit
    pub check_settings: bool,
}

impl Args {
    /// Parses the arguments of this process; exits if they are invalid.
    pub fn parse(about: &'static str) -> Self {
        args().to_options().descr(about).version(env!("CARGO_PKG_VERSION")).run()
    }
}
