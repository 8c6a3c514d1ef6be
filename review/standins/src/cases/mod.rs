//! The cases.

pub mod hang;
pub mod memory;
pub mod pipeline;
