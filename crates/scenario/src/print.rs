//! Prints a scenario in its own language, so that a generated one can be kept as a file.

use crate::script::{CallSpec, Command, Expectation, Place, Scenario, Step, UpstreamFault, Via};
use std::fmt::{self, Display, Formatter};

impl Display for Scenario {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "hosts")?;
        for host in &self.hosts {
            write!(f, " {}@{}", host.host, host.zone)?;
        }
        writeln!(f)?;
        for up in &self.upstreams {
            let (id, zone, slots, service_ms) = (&up.upstream, &up.zone, up.slots, up.service_ms);
            writeln!(f, "upstream {id}@{zone} slots={slots} service={service_ms}")?;
        }
        for route in &self.routes {
            let rule = if route.at_most_once { "at-most-once" } else { "idempotent" };
            writeln!(f, "route {} {rule}", route.prefix)?;
        }
        if let Some(patch) = &self.base_patch {
            writeln!(f, "base {patch}")?;
        }
        for step in &self.steps {
            writeln!(f, "{step}")?;
        }
        writeln!(f, "end {}", self.end_ms)?;
        for expectation in &self.expectations {
            writeln!(f, "expect {expectation}")?;
        }
        Ok(())
    }
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "at {} {}", self.at_ms, self.command)
    }
}

impl Display for Command {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Command::Call(call) => write!(f, "call {call}"),
            Command::Calls { call, every_ms, until_ms } => {
                write!(f, "calls every {every_ms} until {until_ms} {call}")
            }
            Command::Pause { host, for_ms } => write!(f, "pause {host} for {for_ms}"),
            Command::Kill { host } => write!(f, "kill {host}"),
            Command::Start { host } => write!(f, "start {host}"),
            Command::Stop { host } => write!(f, "stop {host}"),
            Command::Cut { hosts, for_ms } => write!(f, "cut {} for {for_ms}", hosts.join(" ")),
            Command::Loss { percent, for_ms } => write!(f, "loss {percent}% for {for_ms}"),
            Command::ListAdd { host } => write!(f, "list add {host}"),
            Command::ListDrop { host } => write!(f, "list drop {host}"),
            Command::ListStale { host, for_ms } => {
                write!(f, "list stale{} for {for_ms}", reader(host.as_deref()))
            }
            Command::ServiceDown { for_ms } => write!(f, "service down for {for_ms}"),
            Command::ServiceStale { host, for_ms } => {
                write!(f, "service stale{} for {for_ms}", reader(host.as_deref()))
            }
            Command::Publish { place, patch } => write!(f, "publish {place} {patch}"),
            Command::Upstream { upstream, fault } => write!(f, "upstream {upstream} {fault}"),
        }
    }
}

fn reader(host: Option<&str>) -> String {
    host.map(|host| format!(" to {host}")).unwrap_or_default()
}

impl Display for Place {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Place::Base => "base",
            Place::Overlay => "overlay",
        })
    }
}

impl Display for UpstreamFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            UpstreamFault::Leave => write!(f, "leave"),
            UpstreamFault::Slow { factor, for_ms } => write!(f, "slow x{factor} for {for_ms}"),
            UpstreamFault::Fail { percent, for_ms } => write!(f, "fail {percent}% for {for_ms}"),
            UpstreamFault::LoseAnswers { percent, for_ms } => {
                write!(f, "lose-answers {percent}% for {for_ms}")
            }
            UpstreamFault::CutAnswers { percent, for_ms } => {
                write!(f, "cut-answers {percent}% for {for_ms}")
            }
            UpstreamFault::RefuseConnections { for_ms } => {
                write!(f, "refuse-connections for {for_ms}")
            }
        }
    }
}

impl Display for CallSpec {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.via {
            Via::Balancer => write!(f, "via balancer ")?,
            Via::Host(host) => write!(f, "via {host} ")?,
        }
        write!(f, "{} {} caller={}", self.method, self.path, self.caller)?;
        if let Some(key) = &self.key {
            write!(f, " key={key}")?;
        }
        write!(f, " timeout={}", self.timeout_ms)
    }
}

impl Display for Expectation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Expectation::AnsweredPercent(percent) => write!(f, "answered at-least {percent}%"),
            Expectation::RefusedAtMost(count) => write!(f, "refused at-most {count}"),
            Expectation::InForce { place, version, by_ms } => {
                write!(f, "in-force {place} {version} by {by_ms}")
            }
            Expectation::NoWork { upstream, after_ms } => {
                write!(f, "no-work {upstream} after {after_ms}")
            }
            Expectation::Ended { host, by_ms } => write!(f, "ended {host} by {by_ms}"),
            Expectation::Runs { key, times } => write!(f, "runs {key} {times}"),
        }
    }
}
