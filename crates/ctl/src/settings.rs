//! Settings of the tool.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use daemon::settings::ini::{Default, Key, Kind, Values};
use eyre::{Result, eyre};

use crate::args::Args;

const DEFAULT_TIMEOUT: Duration = Duration::from_millis(5000);

/// Every key of the section `[tool]`.
pub const KEYS: &[Key] = &[
    Key {
        section: "tool",
        name: "platform",
        kind: Kind::Address,
        default: Default::Absent,
        doc: "Address of the platform's HTTP interface; `--platform` goes before it.",
    },
    Key {
        section: "tool",
        name: "timeout_ms",
        kind: Kind::Number(10, 600_000, "ms"),
        default: Default::Value("5000"),
        doc: "Time after which the platform or a host counts as not answering.",
    },
    Key {
        section: "tool",
        name: "token_file",
        kind: Kind::Path,
        default: Default::Absent,
        doc: "File that holds the operator's bearer token; `--token-file` goes before it. A relative path starts at the directory of this file.",
    },
    Key {
        section: "tool",
        name: "operator",
        kind: Kind::Name,
        default: Default::Absent,
        doc: "Name under which records are written; left out, the user's login name.",
    },
];

/// Wrong use of the tool.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Usage(pub String);

/// Settings of the tool.
#[derive(Debug, Clone)]
pub struct Settings {
    platform: Option<SocketAddr>,
    token_file: Option<PathBuf>,
    /// Time after which the platform or a host counts as not answering.
    pub timeout: Duration,
    /// Name under which records are written.
    pub operator: String,
}

impl Settings {
    /// Reads the settings that the command line names.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be taken.
    pub fn load(args: &Args) -> Result<Self> {
        let mut settings = match &args.settings {
            Some(path) => Self::read(path)?,
            None => Self {
                platform: None,
                token_file: None,
                timeout: DEFAULT_TIMEOUT,
                operator: login(),
            },
        };
        settings.platform = args.platform.or(settings.platform);
        settings.token_file = args.token_file.clone().or(settings.token_file);
        Ok(settings)
    }

    fn read(path: &Path) -> Result<Self> {
        let values = Values::load(path, KEYS).map_err(|fault| Usage(fault.to_string()))?;
        let directory = path.parent().unwrap_or(Path::new(""));
        Ok(Self {
            platform: values.addresses("tool", "platform").first().copied(),
            token_file: values.text("tool", "token_file").map(|file| directory.join(file)),
            timeout: values.millis("tool", "timeout_ms")?,
            operator: values.text("tool", "operator").map_or_else(login, str::to_owned),
        })
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error where neither the command line nor the settings name it.
    pub fn platform(&self) -> Result<SocketAddr> {
        let missing = || Usage("expected --platform ip:port, or --settings with platform".into());
        Ok(self.platform.ok_or_else(missing)?)
    }

    /// Returns the operator's bearer token.
    ///
    /// # Errors
    ///
    /// Returns an error where no file is named, or it can't be read.
    pub fn token(&self) -> Result<String> {
        let Some(path) = &self.token_file else {
            let missing = "expected --token-file, or --settings with token_file";
            return Err(Usage(missing.to_owned()).into());
        };
        let text = fs::read_to_string(path)
            .map_err(|err| eyre!("step=token file={}: {err}", path.display()))?;
        Ok(text.trim().to_owned())
    }
}

fn login() -> String {
    let name = std::env::var("USER").unwrap_or_default();
    if coordination::schema::is_label(&name) { name } else { "unknown".to_owned() }
}
