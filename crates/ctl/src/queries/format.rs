use bpaf::{Parser, long};
use serde::Serialize;

use crate::Result;

/// Output format of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Table,
    Json,
}

/// Parser of the `--json` flag.
pub fn format() -> impl Parser<Format> {
    long("json").help("print JSON").flag(Format::Json, Format::Table)
}

/// Formats a flag as a table cell.
pub fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// A query result that can be printed as a table.
pub trait Rows {
    const TITLES: &'static [&'static str];

    fn rows(&self) -> Vec<Vec<String>>;
}

impl Format {
    /// Prints the result of a query.
    pub fn print<T: Rows + Serialize>(self, result: &T) -> Result<()> {
        match self {
            Format::Json => print_json(result),
            Format::Table => {
                print_table(T::TITLES, &result.rows());
                Ok(())
            }
        }
    }
}

fn print_json(result: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(result)
        .map_err(|e| crate::Error::Refused(format!("can't encode the result as JSON: {e}")))?;
    println!("{text}");
    Ok(())
}

fn print_table(titles: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = titles.iter().map(|t| t.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let titles: Vec<String> = titles.iter().map(|t| (*t).to_owned()).collect();
    for row in std::iter::once(&titles).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
