//! What a scenario says.

use domain::Millis;

/// One scenario.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Scenario {
    /// Entry hosts, all started at time zero.
    pub hosts: Vec<HostSpec>,
    /// Instances of the one service, `shop`.
    pub upstreams: Vec<UpstreamSpec>,
    /// Routes of the service.
    pub routes: Vec<RouteSpec>,
    /// Merge patch on the base that follows from the above.
    pub base_patch: Option<serde_json::Value>,
    /// What happens, in order of time.
    pub steps: Vec<Step>,
    /// When the play ends.
    pub end_ms: Millis,
    /// What must hold besides the promises.
    pub expectations: Vec<Expectation>,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSpec {
    /// Its id.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its id.
    pub upstream: String,
    /// Its availability zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Time that one takes.
    pub service_ms: Millis,
}

/// A route of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Path prefix.
    pub prefix: String,
    /// Runs at most once.
    pub at_most_once: bool,
}

/// A command and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at_ms: Millis,
    /// What.
    pub command: Command,
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// A caller sends a request.
    Call(CallSpec),
    /// Callers send requests at a steady pace until a point in time.
    Calls {
        /// Each of them.
        call: CallSpec,
        /// Time between two.
        every_ms: Millis,
        /// When it ends.
        until_ms: Millis,
    },
    /// A process stands still and wakes later.
    Pause {
        /// Which.
        host: String,
        /// For how long.
        for_ms: Millis,
    },
    /// A process dies.
    Kill {
        /// Which.
        host: String,
    },
    /// A process starts anew.
    Start {
        /// Which.
        host: String,
    },
    /// A process is asked to stop.
    Stop {
        /// Which.
        host: String,
    },
    /// Some entry hosts and the others can't reach each other.
    Cut {
        /// One side.
        hosts: Vec<String>,
        /// For how long.
        for_ms: Millis,
    },
    /// A share of the messages between entry hosts is lost.
    Loss {
        /// In percent.
        percent: u32,
        /// For how long.
        for_ms: Millis,
    },
    /// The host list takes a host in.
    ListAdd {
        /// Which.
        host: String,
    },
    /// The host list drops a host.
    ListDrop {
        /// Which.
        host: String,
    },
    /// Readers see the host list as it is now, for some time.
    ListStale {
        /// Who, or all.
        host: Option<String>,
        /// For how long.
        for_ms: Millis,
    },
    /// The configuration service doesn't answer.
    ServiceDown {
        /// For how long.
        for_ms: Millis,
    },
    /// Readers see the configuration as it is now, for some time.
    ServiceStale {
        /// Who, or all.
        host: Option<String>,
        /// For how long.
        for_ms: Millis,
    },
    /// An operator publishes.
    Publish {
        /// Where.
        place: Place,
        /// Merge patch on what is published there, or text that is no JSON.
        patch: String,
    },
    /// Something befalls an upstream.
    Upstream {
        /// Which.
        upstream: String,
        /// What.
        fault: UpstreamFault,
    },
}

/// A published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The base.
    Base,
    /// The overlay.
    Overlay,
}

/// What befalls an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// It drains: says so, ends what it has and refuses the rest.
    Leave,
    /// It takes this many times as long.
    Slow {
        /// Factor.
        factor: u32,
        /// For how long.
        for_ms: Millis,
    },
    /// It answers with an error at once.
    Fail {
        /// In percent.
        percent: u32,
        /// For how long.
        for_ms: Millis,
    },
    /// It runs the request and closes without an answer.
    LoseAnswers {
        /// In percent.
        percent: u32,
        /// For how long.
        for_ms: Millis,
    },
    /// It runs the request and breaks off within the answer.
    CutAnswers {
        /// In percent.
        percent: u32,
        /// For how long.
        for_ms: Millis,
    },
    /// It accepts no connection.
    RefuseConnections {
        /// For how long.
        for_ms: Millis,
    },
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSpec {
    /// Through which entry host.
    pub via: Via,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Who asks.
    pub caller: String,
    /// Time that the caller gives it.
    pub timeout_ms: Millis,
}

/// Which entry host a call goes through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Via {
    /// One that the balancer takes for ready.
    Balancer,
    /// This one.
    Host(String),
}

/// What must hold besides the promises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// At least this share of the calls is answered by an upstream.
    AnsweredPercent(u32),
    /// At most so many calls are refused.
    RefusedAtMost(u32),
    /// All live hosts have this version of a value in force at a point in time.
    InForce {
        /// Which value.
        place: Place,
        /// Its version.
        version: u64,
        /// When.
        by_ms: Millis,
    },
    /// An upstream receives no request after a point in time.
    NoWork {
        /// Which.
        upstream: String,
        /// When.
        after_ms: Millis,
    },
    /// All hosts that were asked to stop have ended by a point in time.
    Ended {
        /// Which.
        host: String,
        /// When.
        by_ms: Millis,
    },
    /// Requests with this key ran exactly so often.
    Runs {
        /// The key.
        key: String,
        /// How often.
        times: u32,
    },
}
