//! Answers of simulated hosts without faults.

use std::time::Duration;

use coordination::record::LedgerFormat;

use crate::{
    callers::{Kind, count_by_code},
    records,
    simulation::Simulation,
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn all_callers_get_complete_answers_without_faults() {
    let mut simulation = Simulation::new(1, 7);
    records::write_budget(&mut simulation.table, "new", &[100_000], LedgerFormat::New);
    records::write_budget(&mut simulation.table, "old", &[100_000], LedgerFormat::Old);
    simulation.run_for(20 * SECOND);
    let kinds = [Kind::Model("review"), Kind::KeylessModel("letter"), Kind::Status, Kind::Pay];
    for n in 0..80u32 {
        let budget = if n % 3 == 0 { "old" } else { "new" };
        simulation.add_caller(SECOND / 10 * n, kinds[n as usize % 4], budget, 1);
    }
    simulation.run_for(60 * SECOND);
    assert_eq!(count_by_code(&simulation.jobs).into_iter().collect::<Vec<_>>(), [("complete", 80)]);
}
