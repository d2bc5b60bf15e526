//! Messages between processes, in thrift.
//!
//! The generated code in `laburnum` comes from `laburnum.thrift`; the script `generate` runs
//! `thrift --gen rs -out src laburnum.thrift` to make it anew. [`message`] converts between it and
//! the types of [`coordination`], [`seal`] authenticates what travels, [`link`] carries messages
//! between hosts and [`client`] asks a host for its status and timeline.

pub mod client;
#[allow(missing_docs, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod laburnum;
pub mod lend;
pub mod link;
pub mod message;
pub mod operator;
pub mod seal;
