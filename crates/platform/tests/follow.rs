//! Differential test: a copy kept up to date by reading changes must equal a scan of the table.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::{Op, Outcome, Row, Txn, Write};
use platform::Client;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use standin::platform as standin_platform;
use test_case::test_case;

const COMMIT_ROUNDS: u32 = 60;

fn random_write(random: &mut StdRng) -> Write {
    let prefix = ["a/", "a/b/", "c/"][random.random_range(0..3)];
    let key = format!("{prefix}{}", random.random_range(0..5));
    let value = random.random_bool(0.7).then(|| Arc::from(random.random::<u32>().to_string()));
    Write { key: key.into(), value }
}

fn apply_changes(copy: &mut BTreeMap<Arc<str>, Row>, rows: Vec<Row>) {
    for row in rows {
        match row.value {
            Some(_) => copy.insert(row.key.clone(), row),
            None => copy.remove(&row.key),
        };
    }
}

#[test_case("", 1)]
#[test_case("a/", 2)]
#[test_case("a/b/", 3)]
#[test_case("c", 4)]
fn applied_changes_match_a_scan(prefix: &str, seed: u64) {
    let server = standin_platform::spawn(standin_platform::Settings::default()).unwrap();
    let client = Client::new(server.address, Duration::from_secs(10));
    let mut random = StdRng::seed_from_u64(seed);
    let (mut copy, mut revision) = (BTreeMap::new(), 0);
    for _ in 0..COMMIT_ROUNDS {
        let writes = (0..random.random_range(1..4)).map(|_| random_write(&mut random)).collect();
        client.run(&Op::Commit(Txn { checks: vec![], writes }));
        let limit = random.random_range(1..4);
        let op = Op::Changes { prefix: prefix.into(), after: revision, limit };
        let Outcome::Changes { rows, through } = client.run(&op) else { panic!("{op:?}") };
        apply_changes(&mut copy, rows);
        revision = through;
    }
    let op = Op::Changes { prefix: prefix.into(), after: revision, limit: u32::MAX };
    let Outcome::Changes { rows, .. } = client.run(&op) else { panic!("{op:?}") };
    apply_changes(&mut copy, rows);
    let scan = Op::Scan { prefix: prefix.into(), after: "".into(), limit: u32::MAX };
    let Outcome::Rows(rows) = client.run(&scan) else { panic!("{scan:?}") };
    assert!(!rows.is_empty());
    assert_eq!(copy.into_values().collect::<Vec<_>>(), rows);
}
