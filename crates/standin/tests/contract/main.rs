//! Contracts of the stand-ins and of the libraries under them.

mod common;
mod engine;
mod fault;
mod library;
mod load;
mod program;
mod service;
