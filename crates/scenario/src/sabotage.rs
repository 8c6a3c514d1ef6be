//! Mechanisms that the harness can break on purpose.
//!
//! Each one falsifies what passes between a core and its fakes; the core itself is
//! never touched. A promise's proof must fail under the sabotage that belongs to it.

/// What the harness breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// Attempts that may have run are reported as never sent.
    ForgedProof,
    /// A process that is asked to stop ends at once.
    HastyExit,
    /// The configuration service numbers an old text as the newest.
    RenumberedConfig,
    /// Each entry host is shown a list with nobody but itself.
    LonelyLists,
    /// Nobody hears that an upstream is leaving.
    HiddenLeaving,
    /// An answer is handed to another call of the same host.
    SwappedAnswers,
    /// Every vote on a claim is turned into a yes.
    ForgedVotes,
}

impl Sabotage {
    /// All of them.
    pub const ALL: [Sabotage; 7] = [
        Sabotage::ForgedProof,
        Sabotage::HastyExit,
        Sabotage::RenumberedConfig,
        Sabotage::LonelyLists,
        Sabotage::HiddenLeaving,
        Sabotage::SwappedAnswers,
        Sabotage::ForgedVotes,
    ];
}
