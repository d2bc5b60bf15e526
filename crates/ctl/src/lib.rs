//! The operator's tool: writes records, and shows what the fleet makes of them.

pub mod apply;
pub mod args;
pub mod budget;
pub mod check;
pub mod command;
pub mod delete;
pub mod difference;
pub mod file;
pub mod fleet;
pub mod get;
pub mod output;
pub mod settings;
pub mod status;
pub mod table;
pub mod timeline;
pub mod token;
pub mod top_up;
pub mod write;
