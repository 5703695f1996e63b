use lease::{Size, Space};

/// An agent as an entry sees it when it places tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seat {
    pub space: Space,
    /// what was sent there since its space was reported
    pub unreported: Size,
    /// not to be used for this job
    pub excluded: bool,
    /// run time there against elsewhere, for tasks whose data is far away
    pub distance: f64,
    /// tasks of this job that it may still get; `None` for any number
    pub most: Option<usize>,
}
