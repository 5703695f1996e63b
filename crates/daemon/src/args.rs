use bpaf::{Bpaf, Parser};

/// Arguments of a daemon.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// settings file, JSON
    #[bpaf(short, long, argument("FILE"))]
    pub settings: String,
    /// check the settings file and exit
    pub check_settings: bool,
}

impl Args {
    /// Reads the arguments of this process; ends it when they are wrong.
    pub fn parse(about: &'static str) -> Self {
        args().to_options().descr(about).version(env!("CARGO_PKG_VERSION")).run()
    }
}
