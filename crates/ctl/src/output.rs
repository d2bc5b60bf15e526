//! What a command prints.

use std::fmt::Write as _;

use serde_json::Value;

/// What a command did or found.
#[derive(Debug)]
pub struct Report {
    /// For people; ends with a line break unless empty.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// All that was asked for was done.
    pub done: bool,
}

/// Returns rows as aligned columns under their heads.
pub fn columns(heads: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heads.iter().map(|head| head.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heads: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    let mut text = line(&heads, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let width = *width;
        let _ = write!(line, "{cell:<width$}  ");
    }
    format!("{}\n", line.trim_end())
}
