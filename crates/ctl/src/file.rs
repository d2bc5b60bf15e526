//! Files of records.

use std::{
    collections::BTreeMap,
    fs,
    io::Read as _,
    path::{Path, PathBuf},
};

use coordination::{record::Kind, schema};
use eyre::{Result, WrapErr as _, bail, ensure};
use serde_json::Value;

use crate::settings::Usage;

const EXTENSION: &str = "json";

/// A record as an operator wrote it.
#[derive(Debug, Clone)]
pub struct Source {
    /// File and number of the record in it.
    pub place: String,
    /// Key of the record.
    pub key: String,
    /// Kind of the record.
    pub kind: Kind,
    /// Document.
    pub json: String,
}

/// Reads the records of files and directories; each after those that it refers to.
///
/// # Errors
///
/// Returns an error where a file can't be read or holds no records, or a record stands twice.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Source>> {
    if paths.is_empty() {
        return Err(Usage("expected -f with a file or directory".to_owned()).into());
    }
    let mut sources = Vec::new();
    for path in paths {
        read_path(path, &mut sources)?;
    }
    refuse_twice(&sources)?;
    let rank = |kind: Kind| Kind::ALL.iter().position(|known| *known == kind);
    sources.sort_by_key(|source: &Source| rank(source.kind));
    Ok(sources)
}

fn read_path(path: &Path, sources: &mut Vec<Source>) -> Result<()> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).wrap_err("step=read file=-")?;
        return split("-", &text, sources);
    }
    if !path.is_dir() {
        return read_file(path, sources);
    }
    let mut files = Vec::new();
    let entries = fs::read_dir(path).wrap_err_with(|| step(path))?;
    for entry in entries {
        files.push(entry.wrap_err_with(|| step(path))?.path());
    }
    files.retain(|file| file.extension().is_some_and(|extension| extension == EXTENSION));
    files.sort();
    ensure!(!files.is_empty(), "{}: no .json files", step(path));
    for file in files {
        read_file(&file, sources)?;
    }
    Ok(())
}

fn read_file(path: &Path, sources: &mut Vec<Source>) -> Result<()> {
    let text = fs::read_to_string(path).wrap_err_with(|| step(path))?;
    split(&path.display().to_string(), &text, sources)
}

fn step(path: &Path) -> String {
    format!("step=read file={}", path.display())
}

fn split(file: &str, text: &str, sources: &mut Vec<Source>) -> Result<()> {
    let documents = match serde_json::from_str(text) {
        Ok(Value::Array(documents)) => documents,
        Ok(document) => vec![document],
        Err(err) => bail!("{file}: expected JSON, got {err}"),
    };
    for (at, document) in documents.iter().enumerate() {
        let place = format!("{file}#{}", at + 1);
        let json = document.to_string();
        let (key, kind, _) = schema::parse_with_key(&json).wrap_err_with(|| place.clone())?;
        sources.push(Source { place, key, kind, json });
    }
    Ok(())
}

fn refuse_twice(sources: &[Source]) -> Result<()> {
    let mut places = BTreeMap::new();
    for source in sources {
        if let Some(earlier) = places.insert(&source.key, &source.place) {
            bail!("{} stands twice: {earlier} and {}", source.key, source.place);
        }
    }
    Ok(())
}
