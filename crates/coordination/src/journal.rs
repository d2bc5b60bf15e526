//! Journals of holders and the copies that other hosts keep.
//!
//! A holder numbers its entries from 1 and sends them to the processes of its ensemble. An entry is
//! durable once every member that makes progress, and at least one, has acknowledged it. Without
//! members an entry is durable at once.

mod replica;
mod state;
mod writer;

pub use replica::Replica;
pub use state::{PendingTransfer, Reservation, Settlement, State};
pub use writer::{Ensemble, Writer};
