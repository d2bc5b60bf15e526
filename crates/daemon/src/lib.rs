//! Under construction.

pub mod settings;
