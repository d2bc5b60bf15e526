//! Answers of whole hosts.

use std::time::Duration;

use coordination::record::LedgerFormat;

use crate::{
    callers::{Kind, codes},
    records,
    world::World,
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn everybody_is_answered_where_nothing_fails() {
    let mut world = World::open(1, 7);
    records::write_budget(&mut world.table, "new", &[100_000], LedgerFormat::New);
    records::write_budget(&mut world.table, "old", &[100_000], LedgerFormat::Old);
    world.run_for(20 * SECOND);
    let kinds = [Kind::Model("review"), Kind::Single("letter"), Kind::Status, Kind::Pay];
    for n in 0..80u32 {
        let budget = if n % 3 == 0 { "old" } else { "new" };
        world.add(SECOND / 10 * n, kinds[n as usize % 4], budget, 1);
    }
    world.run_for(60 * SECOND);
    assert_eq!(codes(&world.jobs).into_iter().collect::<Vec<_>>(), [("whole", 80)]);
}
