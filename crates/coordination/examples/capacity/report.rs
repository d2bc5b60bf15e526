//! Measured series with their linear fits, and the memory use of this process.

use std::{process::Command, time::Instant};

/// Size of a memory page, in which `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

/// Measurements of one quantity as a function of a parameter.
pub struct Series {
    name: &'static str,
    parameter: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    /// Creates an empty series.
    pub fn new(name: &'static str, parameter: &'static str, unit: &'static str) -> Self {
        Self { name, parameter, unit, points: Vec::new() }
    }

    /// Adds the value measured for one value of the parameter.
    pub fn push(&mut self, parameter: usize, value: f64) {
        self.points.push((parameter as f64, value));
    }

    /// Prints the points and their linear least-squares fit.
    pub fn print(&self) {
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {}", format_number(*y))).collect();
        let (slope, intercept) = self.linear_fit();
        println!(
            "{} [{}] by {}: {} | fit {} + {} a piece",
            self.name,
            self.unit,
            self.parameter,
            points.join(", "),
            format_number(intercept),
            format_number(slope),
        );
    }

    /// Returns the slope and the intercept of the least-squares line.
    fn linear_fit(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut sum_xy = 0.0;
        let mut sum_xx = 0.0;
        for (x, y) in &self.points {
            sum_xy += (x - mean_x) * (y - mean_y);
            sum_xx += (x - mean_x) * (x - mean_x);
        }
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        (slope, mean_y - slope * mean_x)
    }
}

/// Prints one value with its unit.
pub fn print(name: &str, value: f64, unit: &str) {
    println!("{name}: {} {unit}", format_number(value));
}

fn format_number(value: f64) -> String {
    match value.abs() {
        small if small < 0.01 && small > 0.0 => format!("{value:.6}"),
        small if small < 10.0 => format!("{value:.3}"),
        small if small < 1_000.0 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}

/// Returns the mean time of `count` runs, in nanoseconds.
pub fn nanos_per_run(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut run);
    start.elapsed().as_nanos() as f64 / count as f64
}

/// Prints by how many bytes the resident memory grows while `build` runs; what it returns is still
/// alive.
pub fn print_memory<T>(build: impl FnOnce() -> T) {
    let before = resident_bytes();
    let built = build();
    println!("{}", resident_bytes().saturating_sub(before));
    drop(built);
}

/// Returns the memory that a component uses, in bytes, measured in a process of its own so that no
/// freed memory is reused.
pub fn memory_in_subprocess(part: &str, count: usize) -> f64 {
    let program = std::env::current_exe().expect("a path to this program");
    let output = Command::new(program).args(["memory", part, &count.to_string()]).output();
    let output = output.expect("this program can be run").stdout;
    String::from_utf8_lossy(&output).trim().parse().expect("a number of bytes")
}

/// Returns the resident set size of this process; 0 if it can't be read.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
