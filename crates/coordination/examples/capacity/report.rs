//! Points, fits and the memory of this process.

use std::{process::Command, time::Instant};

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Measurements of one quantity against another.
pub struct Series {
    name: &'static str,
    against: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Returns an empty series.
    pub fn new(name: &'static str, against: &'static str, unit: &'static str) -> Self {
        Self { name, against, unit, points: Vec::new() }
    }

    /// Adds a point.
    pub fn push(&mut self, against: usize, value: f64) {
        self.points.push((against as f64, value));
    }

    /// Prints the points and the straight line of least squares through them.
    pub fn print(&self) {
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {}", number(*y))).collect();
        let (slope, start) = self.fit();
        println!(
            "{} [{}] by {}: {} | fit {} + {} a piece",
            self.name,
            self.unit,
            self.against,
            points.join(", "),
            number(start),
            number(slope),
        );
    }

    fn fit(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut products = 0.0;
        let mut squares = 0.0;
        for (x, y) in &self.points {
            products += (x - mean_x) * (y - mean_y);
            squares += (x - mean_x) * (x - mean_x);
        }
        let slope = if squares > 0.0 { products / squares } else { 0.0 };
        (slope, mean_y - slope * mean_x)
    }
}

/// Prints one figure.
pub fn print(name: &str, value: f64, unit: &str) {
    println!("{name}: {} {unit}", number(value));
}

fn number(value: f64) -> String {
    match value.abs() {
        small if small < 0.01 && small > 0.0 => format!("{value:.6}"),
        small if small < 10.0 => format!("{value:.3}"),
        small if small < 1_000.0 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}

/// Returns the nanoseconds of one of `count` runs.
pub fn nanos(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut run);
    start.elapsed().as_nanos() as f64 / count as f64
}

/// Prints the bytes of memory that stay in use after `make`.
pub fn print_memory<T>(make: impl FnOnce() -> T) {
    let before = resident();
    let made = make();
    println!("{}", resident().saturating_sub(before));
    drop(made);
}

/// Returns the bytes that a part takes in a process of its own, so that no memory is used again.
pub fn memory(part: &str, count: usize) -> f64 {
    let program = std::env::current_exe().expect("a path to this program");
    let output = Command::new(program).args(["memory", part, &count.to_string()]).output();
    let output = output.expect("this program can be run").stdout;
    String::from_utf8_lossy(&output).trim().parse().expect("a number of bytes")
}

fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
