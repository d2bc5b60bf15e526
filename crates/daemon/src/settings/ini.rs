//! Reads INI files against a table of known keys.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use coordination::schema;
use ini::{Ini, ParseOption};

/// Bytes of the key that hosts share.
pub const KEY_BYTES: usize = 32;

/// A key that a file may hold.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Section that it stands in.
    pub section: &'static str,
    /// Name.
    pub name: &'static str,
    /// Values that it takes.
    pub kind: Kind,
    /// What holds where it is left out.
    pub default: Default,
    /// What it does.
    pub doc: &'static str,
}

/// What holds where a key is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Default {
    /// The key must be given.
    Required,
    /// Nothing.
    Absent,
    /// This value.
    Value(&'static str),
}

/// Values that a key takes.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// Name of a host or zone.
    Name,
    /// `ip:port` to reach.
    Address,
    /// `ip:port` to bind; port 0 takes a free one.
    Bind,
    /// Addresses separated by commas.
    Addresses,
    /// Whole number with its least and greatest value and its unit.
    Number(u64, u64, &'static str),
    /// Path of a file.
    Path,
    /// Secret of 32 bytes in hexadecimal.
    Secret,
    /// Bearer token.
    Token,
    /// Filter of log events by level and target.
    Filter,
}

impl Kind {
    /// Returns the values that are taken, in words.
    pub fn expected(self) -> String {
        match self {
            Self::Name => "a name of 1 to 63 of a-z, 0-9 and -".to_owned(),
            Self::Address => "ip:port".to_owned(),
            Self::Bind => "ip:port, where port 0 takes a free one".to_owned(),
            Self::Addresses => "ip:port,ip:port,…".to_owned(),
            Self::Number(least, greatest, unit) => format!("{least} to {greatest} {unit}"),
            Self::Path => "a path".to_owned(),
            Self::Secret => "64 hexadecimal digits".to_owned(),
            Self::Token => "a token of at most 256 characters".to_owned(),
            Self::Filter => "a level or target=level,…".to_owned(),
        }
    }

    fn accepts(self, text: &str) -> bool {
        match self {
            Self::Name => schema::is_name(text),
            Self::Address => text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0),
            Self::Bind => text.parse::<SocketAddr>().is_ok(),
            Self::Addresses => split(text).all(|part| Self::Address.accepts(part)),
            Self::Number(least, greatest, _) => {
                text.parse().is_ok_and(|number| (least..=greatest).contains(&number))
            }
            Self::Path => !text.is_empty(),
            Self::Secret => decode(text).is_some(),
            Self::Token => {
                !text.is_empty() && text.len() <= coordination::credential::MAX_TOKEN_BYTES
            }
            Self::Filter => text.parse::<tracing_subscriber::EnvFilter>().is_ok(),
        }
    }

    fn is_secret(self) -> bool {
        matches!(self, Self::Secret | Self::Token)
    }
}

/// A file can't be taken; its text is one line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}: {reason}")]
pub struct Fault {
    /// File.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Section and key.
    pub place: String,
    /// What was expected and what was found.
    pub reason: String,
}

/// Values of a file, each known and within its bounds.
#[derive(Debug)]
pub struct Values {
    file: String,
    lines: Lines,
    texts: BTreeMap<(&'static str, &'static str), String>,
}

impl Values {
    /// Reads a file whose keys are all in `keys`.
    ///
    /// # Errors
    ///
    /// Returns the first fault: the file can't be read, it is not INI, a section or key is not
    /// known or stands twice, a value is out of bounds, or a required key is missing.
    pub fn load(path: &Path, keys: &[Key]) -> Result<Self, Fault> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text, keys),
            Err(err) => Err(fault(&file, 0, "file".to_owned(), format!("can't be read: {err}"))),
        }
    }

    /// Reads the text of a file whose keys are all in `keys`.
    ///
    /// # Errors
    ///
    /// Returns the first fault, as [`Values::load`] does.
    pub fn parse(file: &str, text: &str, keys: &[Key]) -> Result<Self, Fault> {
        let lines = Lines::scan(text);
        if let Some(line) = lines.stray {
            return Err(syntax(file, line, "a line that is neither section nor key"));
        }
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let parsed = Ini::load_from_str_opt(text, option);
        let ini = parsed.map_err(|err| syntax(file, err.line, &err.msg))?;
        let mut values = Self { file: file.to_owned(), lines, texts: BTreeMap::new() };
        values.check_sections(keys)?;
        for (section, properties) in ini.iter() {
            for (name, value) in properties.iter() {
                values.take(section.unwrap_or(""), name, value.trim(), keys)?;
            }
        }
        values.fill(keys)?;
        Ok(values)
    }

    fn take(&mut self, section: &str, name: &str, value: &str, keys: &[Key]) -> Result<(), Fault> {
        let known = keys.iter().find(|key| key.section == section && key.name == name);
        let Some(key) = known else {
            let line = self.lines.key(section, name, 0);
            return Err(self.fault(line, section, name, unknown(section, keys)));
        };
        if self.texts.contains_key(&(key.section, key.name)) {
            let line = self.lines.key(section, name, 1);
            return Err(self.fault(line, section, name, "expected once, got twice".to_owned()));
        }
        if !key.kind.accepts(value) {
            let got = if key.kind.is_secret() {
                format!("{} characters", value.chars().count())
            } else {
                format!("{value:?}")
            };
            let reason = format!("expected {}, got {got}", key.kind.expected());
            return Err(self.fault(self.lines.key(section, name, 0), section, name, reason));
        }
        self.texts.insert((key.section, key.name), value.to_owned());
        Ok(())
    }

    fn check_sections(&self, keys: &[Key]) -> Result<(), Fault> {
        for (at, (line, section)) in self.lines.sections.iter().enumerate() {
            if keys.iter().all(|key| key.section != section) {
                return Err(self.fault(*line, section, "", unknown(section, keys)));
            }
            if self.lines.sections[..at].iter().any(|(_, earlier)| earlier == section) {
                return Err(self.fault(*line, section, "", "expected once, got twice".to_owned()));
            }
        }
        Ok(())
    }

    fn fill(&mut self, keys: &[Key]) -> Result<(), Fault> {
        for key in keys {
            if self.texts.contains_key(&(key.section, key.name)) {
                continue;
            }
            match key.default {
                Default::Required => {
                    let reason = format!("expected {}, got nothing", key.kind.expected());
                    return Err(self.missing(key.section, key.name, reason));
                }
                Default::Absent => {}
                Default::Value(value) => {
                    self.texts.insert((key.section, key.name), value.to_owned());
                }
            }
        }
        Ok(())
    }

    /// Returns a fault for a key that the file holds, at its line.
    pub fn fault_at(&self, section: &str, name: &str, reason: impl Into<String>) -> Fault {
        self.fault(self.lines.key(section, name, 0), section, name, reason.into())
    }

    /// Returns a fault for a key that the file lacks, at the line of its section.
    pub fn missing(&self, section: &str, name: &str, reason: impl Into<String>) -> Fault {
        self.fault(self.lines.section(section), section, name, reason.into())
    }

    fn fault(&self, line: usize, section: &str, name: &str, reason: String) -> Fault {
        let place = format!("[{section}] {name}");
        fault(&self.file, line, place.trim_end().to_owned(), reason)
    }

    /// Returns the text of a key, or `None` where it is left out.
    pub fn text(&self, section: &str, name: &str) -> Option<&str> {
        let entry = self.texts.iter().find(|((s, n), _)| *s == section && *n == name);
        entry.map(|(_, text)| text.as_str())
    }

    /// Returns the value of a key through its type, or a fault where the type refuses it.
    ///
    /// # Errors
    ///
    /// Returns a fault where the key is left out or its text is refused.
    pub fn get<T: std::str::FromStr>(&self, section: &str, name: &str) -> Result<T, Fault> {
        let text = self.text(section, name).unwrap_or("");
        text.parse().map_err(|_| self.fault_at(section, name, "expected a value, got nothing"))
    }

    /// Returns a number of milliseconds as a duration.
    ///
    /// # Errors
    ///
    /// Returns a fault where the key is left out.
    pub fn millis(&self, section: &str, name: &str) -> Result<Duration, Fault> {
        self.get(section, name).map(Duration::from_millis)
    }

    /// Returns the addresses of a key, none where it is left out.
    pub fn addresses(&self, section: &str, name: &str) -> Vec<SocketAddr> {
        let text = self.text(section, name).unwrap_or("");
        split(text).filter_map(|part| part.parse().ok()).collect()
    }

    /// Returns the secret that stands in `key`, or in the file that `key_file` names.
    ///
    /// # Errors
    ///
    /// Returns a fault where neither or both are given, or the file holds no secret.
    pub fn secret(&self, section: &str) -> Result<[u8; KEY_BYTES], Fault> {
        let Some(text) = self.text(section, "key") else {
            let reason = "expected key or key_file, got neither";
            let secret = self.secret_file(section, "key_file")?;
            return secret.ok_or_else(|| self.missing(section, "key_file", reason));
        };
        if self.text(section, "key_file").is_some() {
            return Err(self.fault_at(section, "key_file", "expected key or key_file, got both"));
        }
        self.decode(section, "key", text)
    }

    /// Returns the secret in the file that a key names, or `None` where the key is left out.
    ///
    /// # Errors
    ///
    /// Returns a fault where the file can't be read or holds no secret.
    pub fn secret_file(&self, section: &str, name: &str) -> Result<Option<[u8; KEY_BYTES]>, Fault> {
        let Some(path) = self.text(section, name) else { return Ok(None) };
        let path = self.beside(path);
        let text = fs::read_to_string(&path).map_err(|err| {
            let reason = format!("{} can't be read: {err}", path.display());
            self.fault_at(section, name, reason)
        })?;
        self.decode(section, name, text.trim()).map(Some)
    }

    fn decode(&self, section: &str, name: &str, text: &str) -> Result<[u8; KEY_BYTES], Fault> {
        let got = text.chars().count();
        let reason = format!("expected {}, got {got} characters", Kind::Secret.expected());
        decode(text).ok_or_else(|| self.fault_at(section, name, reason))
    }

    fn beside(&self, path: &str) -> PathBuf {
        let parent = Path::new(&self.file).parent().unwrap_or(Path::new(""));
        parent.join(path)
    }
}

/// Returns the reference of the keys as Markdown, one table for each section.
pub fn page(keys: &[Key]) -> String {
    let mut page = String::new();
    let mut section = "";
    for key in keys {
        if key.section != section {
            section = key.section;
            page.push_str(&format!("\n## [{section}]\n\n"));
            page.push_str("| Key | Value | Default | Meaning |\n|---|---|---|---|\n");
        }
        let default = match key.default {
            Default::Required => "required".to_owned(),
            Default::Absent => "none".to_owned(),
            Default::Value(value) => format!("`{value}`"),
        };
        let expected = key.kind.expected();
        page.push_str(&format!("| `{}` | {expected} | {default} | {} |\n", key.name, key.doc));
    }
    page
}

fn fault(file: &str, line: usize, place: String, reason: String) -> Fault {
    Fault { file: file.to_owned(), line, place, reason }
}

fn syntax(file: &str, line: usize, got: &str) -> Fault {
    fault(file, line, "syntax".to_owned(), format!("expected INI, got {got}"))
}

fn unknown(section: &str, keys: &[Key]) -> String {
    let mut known: Vec<&str> =
        keys.iter().filter(|key| key.section == section).map(|key| key.name).collect();
    if known.is_empty() {
        known = keys.iter().map(|key| key.section).collect();
        known.dedup();
        return format!("expected a section out of {}, got this one", known.join(", "));
    }
    format!("expected a key out of {}, got this one", known.join(", "))
}

fn split(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

fn decode(text: &str) -> Option<[u8; KEY_BYTES]> {
    let mut key = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut key).ok()?;
    Some(key)
}

/// Where sections and keys stand in a file.
#[derive(Debug)]
struct Lines {
    sections: Vec<(usize, String)>,
    keys: Vec<(usize, String, String)>,
    /// First line that is neither of these, nor a comment, nor empty.
    stray: Option<usize>,
}

impl Lines {
    fn scan(text: &str) -> Self {
        let mut lines = Self { sections: Vec::new(), keys: Vec::new(), stray: None };
        let mut section = String::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            let header = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
            if let Some(name) = header {
                section = name.trim().to_owned();
                lines.sections.push((at + 1, section.clone()));
                continue;
            }
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            match line.split_once(['=', ':']) {
                Some((name, _)) if !line.starts_with('[') => {
                    lines.keys.push((at + 1, section.clone(), name.trim().to_owned()));
                }
                _ => lines.stray = lines.stray.or(Some(at + 1)),
            }
        }
        lines
    }

    fn section(&self, section: &str) -> usize {
        self.sections.iter().find(|(_, name)| name == section).map_or(1, |(line, _)| *line)
    }

    fn key(&self, section: &str, name: &str, nth: usize) -> usize {
        let mut found = self.keys.iter().filter(|(_, s, n)| s == section && n == name);
        found.nth(nth).map_or(1, |(line, _, _)| *line)
    }
}
