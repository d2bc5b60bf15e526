//! A stand-in platform and files of records.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use coordination::table::{Op, Outcome, Row, Txn, Write};
use platform::Client;
use serde_json::{Value, json};
use standin::{control, http::Handle, platform as stand};

/// A stand-in platform and a client for it.
pub struct Platform {
    pub stand: Handle,
    pub client: Client,
}

impl Platform {
    pub fn open() -> Self {
        let stand = stand::spawn(stand::Settings::default()).unwrap();
        let client = Client::new(stand.address, Duration::from_secs(10));
        Self { stand, client }
    }

    /// Makes the platform fail on command.
    pub fn fault(&self, fault: &Value) {
        control::post(self.stand.address, "/control/fault", fault).unwrap();
    }

    /// Returns a count of the platform.
    pub fn count(&self, name: &str) -> u64 {
        control::get(self.stand.address, "/control/counts").unwrap()[name].as_u64().unwrap()
    }

    /// Writes a row past the tool.
    pub fn write(&self, key: &str, value: &Value) -> u64 {
        let write = Write { key: key.into(), value: Some(value.to_string().into()) };
        match self.client.run(&Op::Commit(Txn { checks: Vec::new(), writes: vec![write] })) {
            Outcome::Committed(revision) => revision,
            other => panic!("{other:?}"),
        }
    }

    pub fn row(&self, key: &str) -> Row {
        match self.client.run(&Op::Read(vec![Arc::from(key)])) {
            Outcome::Rows(rows) => rows[0].clone(),
            other => panic!("{other:?}"),
        }
    }

    /// Returns the document of a row.
    pub fn read(&self, key: &str) -> Value {
        self.row(key).value.map_or(Value::Null, |value| serde_json::from_str(&value).unwrap())
    }
}

/// Writes documents into a file of a test's own and returns its path.
pub fn file(name: &str, documents: &Value) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.json"));
    fs::write(&path, documents.to_string()).unwrap();
    path
}

/// Returns a budget's record.
pub fn budget(top_ups: Value) -> Value {
    json!({ "kind": "budget", "version": 2, "name": "grants", "workspace": "centro", "top_ups": top_ups })
}

/// Key of the record that [`budget`] returns.
pub const BUDGET: &str = "config/budget/grants";
