//! The operator's evacuations, for operators.

use std::{collections::BTreeSet, fmt, sync::Arc};

use coordination::table::Revision;
use serde::Serialize;

/// An evacuation that the operator has written.
#[derive(Debug, Serialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: Arc<str>,
    /// Whether it is a known zone; `None` if the known zones aren't stated.
    pub known: Option<bool>,
    /// Revision of its row.
    pub revision: Revision,
}

/// All evacuations.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// The evacuations, by zone.
    pub evacuations: Vec<Evacuation>,
    /// Zones of the deployment.
    pub known_zones: BTreeSet<Arc<str>>,
}

impl Report {
    /// Builds the report from the evacuated zones, each with the revision of its row, and the known
    /// zones.
    pub fn new(
        rows: impl IntoIterator<Item = (Arc<str>, Revision)>,
        known_zones: BTreeSet<Arc<str>>,
    ) -> Self {
        let evacuations = rows.into_iter().map(|(zone, revision)| {
            let known = (!known_zones.is_empty()).then(|| known_zones.contains(&zone));
            Evacuation { zone, known, revision }
        });
        Self { evacuations: evacuations.collect(), known_zones }
    }

    /// Returns whether an evacuation names an unknown zone.
    pub fn has_unknown(&self) -> bool {
        self.evacuations.iter().any(|evacuation| evacuation.known == Some(false))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Evacuation { zone, known, revision } in &self.evacuations {
            let known = known.map_or("unstated", |known| if known { "true" } else { "false" });
            writeln!(f, "zone={zone} known={known} revision={revision}")?;
        }
        if self.has_unknown() {
            let known_zones: Vec<&str> = self.known_zones.iter().map(|zone| &**zone).collect();
            writeln!(f, "known_zones={}", known_zones.join(","))?;
        }
        Ok(())
    }
}
