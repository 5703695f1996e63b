use bpaf::Bpaf;

/// Entry of egretshelf: takes requests from callers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// settings file, JSON
    #[bpaf(short, long, argument("FILE"))]
    pub settings: String,
    /// check the settings file and exit
    pub check_settings: bool,
}
