//! The cases.

pub mod freeze;
pub mod memory;
pub mod pipeline;
