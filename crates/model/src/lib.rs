//! A discrete-event model of one site, to weigh policies against each other.
//!
//! It wires real decision cores to model upstreams in virtual time, so that a round of
//! weighing takes seconds and gives the same figures each time. It is for choosing a
//! policy only; what is chosen is confirmed on real processes.

pub mod report;
pub mod sim;
pub mod site;
pub mod upstream;
