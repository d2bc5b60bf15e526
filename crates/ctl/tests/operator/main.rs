//! The tool against a stand-in platform.

mod budget;
mod common;
mod tool;
mod write;
