//! The cases.

pub mod chunks;
pub mod freeze;
mod kept;
pub mod memory;
