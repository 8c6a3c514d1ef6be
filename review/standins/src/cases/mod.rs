//! The cases.

pub mod hang;
pub mod memory;
