//! Reads the language.
//!
//! One statement a line, words apart by blanks, `#` begins a comment line. Times are
//! `250ms` or `3s`. The module mirrors the printer: what one writes the other reads.

use crate::script::{
    CallSpec, Command, Expectation, HostSpec, Place, RouteSpec, Scenario, Step, UpstreamFault,
    UpstreamSpec, Via,
};
use domain::Millis;
use std::fmt;

/// Timeout of a call that states none.
const DEFAULT_TIMEOUT_MS: Millis = Millis(2000);

/// A line that is no statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Counted from one.
    pub line: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: write {}", self.line, self.expected)
    }
}

impl std::error::Error for ParseError {}

/// Reads a scenario.
///
/// # Errors
///
/// The first line that is no statement, with what would be one.
pub fn parse(text: &str) -> Result<Scenario, ParseError> {
    let mut scenario = Scenario::default();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        statement(&mut scenario, line)
            .map_err(|expected| ParseError { line: index + 1, expected })?;
    }
    scenario.steps.sort_by_key(|step| step.at_ms);
    Ok(scenario)
}

type Parsed<T> = Result<T, String>;

fn statement(scenario: &mut Scenario, line: &str) -> Parsed<()> {
    let (word, rest) = split_word(line);
    match word {
        "hosts" => {
            for word in rest.split_whitespace() {
                let (host, zone) = place_of(word)?;
                scenario.hosts.push(HostSpec { host, zone });
            }
        }
        "upstream" => scenario.upstreams.push(upstream(rest)?),
        "route" => scenario.routes.push(route(rest)?),
        "base" => scenario.base_patch = Some(json(rest)?),
        "at" => scenario.steps.push(step(rest)?),
        "end" => scenario.end_ms = millis(rest)?,
        "expect" => scenario.expectations.push(expectation(rest)?),
        _ => return expected("hosts, upstream, route, base, at, end or expect"),
    }
    Ok(())
}

fn upstream(text: &str) -> Parsed<UpstreamSpec> {
    let (word, rest) = split_word(text);
    let (upstream, zone) = place_of(word)?;
    let slots = number(&option(rest, "slots").ok_or("slots=<number>")?)?;
    let service_ms = millis(&option(rest, "service").ok_or("service=<time>")?)?;
    Ok(UpstreamSpec { upstream, zone, slots, service_ms })
}

fn route(text: &str) -> Parsed<RouteSpec> {
    let (prefix, rule) = split_word(text);
    let at_most_once = match rule {
        "idempotent" => false,
        "at-most-once" => true,
        _ => return expected("route <prefix> idempotent|at-most-once"),
    };
    Ok(RouteSpec { prefix: prefix.to_owned(), at_most_once })
}

fn step(text: &str) -> Parsed<Step> {
    let (at, rest) = split_word(text);
    Ok(Step { at_ms: millis(at)?, command: command(rest)? })
}

fn command(text: &str) -> Parsed<Command> {
    let (word, rest) = split_word(text);
    let host = || rest.to_owned();
    Ok(match word {
        "call" => Command::Call(call(rest)?),
        "calls" => calls(rest)?,
        "pause" => {
            let (host, for_ms) = with_span(rest)?;
            Command::Pause { host, for_ms }
        }
        "kill" => Command::Kill { host: host() },
        "start" => Command::Start { host: host() },
        "stop" => Command::Stop { host: host() },
        "cut" => {
            let (hosts, for_ms) = with_span(rest)?;
            Command::Cut { hosts: hosts.split_whitespace().map(str::to_owned).collect(), for_ms }
        }
        "loss" => {
            let (share, for_ms) = with_span(rest)?;
            Command::Loss { percent: percent(&share)?, for_ms }
        }
        "list" => list(rest)?,
        "service" => service(rest)?,
        "publish" => {
            let (place, patch) = split_word(rest);
            Command::Publish { place: place_word(place)?, patch: patch.to_owned() }
        }
        "upstream" => {
            let (upstream, fault) = split_word(rest);
            Command::Upstream { upstream: upstream.to_owned(), fault: upstream_fault(fault)? }
        }
        _ => return expected("a command such as call, pause, kill, cut, publish"),
    })
}

fn calls(text: &str) -> Parsed<Command> {
    let form = "calls every <time> until <time> via <host> <METHOD> <path>";
    let rest = text.strip_prefix("every ").ok_or(form)?;
    let (every, rest) = split_word(rest);
    let rest = rest.strip_prefix("until ").ok_or(form)?;
    let (until, rest) = split_word(rest);
    Ok(Command::Calls { call: call(rest)?, every_ms: millis(every)?, until_ms: millis(until)? })
}

fn call(text: &str) -> Parsed<CallSpec> {
    let form = "via <host>|balancer <METHOD> <path> [caller=<id>] [key=<key>] [timeout=<time>]";
    let rest = text.strip_prefix("via ").ok_or(form)?;
    let (via, rest) = split_word(rest);
    let (method, rest) = split_word(rest);
    let (path, rest) = split_word(rest);
    if path.is_empty() {
        return expected(form);
    }
    let timeout_ms = match option(rest, "timeout") {
        Some(text) => millis(&text)?,
        None => DEFAULT_TIMEOUT_MS,
    };
    Ok(CallSpec {
        via: match via {
            "balancer" => Via::Balancer,
            host => Via::Host(host.to_owned()),
        },
        method: method.to_owned(),
        path: path.to_owned(),
        key: option(rest, "key"),
        caller: option(rest, "caller").unwrap_or_else(|| "desk".to_owned()),
        timeout_ms,
    })
}

fn list(text: &str) -> Parsed<Command> {
    let (word, rest) = split_word(text);
    match word {
        "add" => Ok(Command::ListAdd { host: rest.to_owned() }),
        "drop" => Ok(Command::ListDrop { host: rest.to_owned() }),
        "stale" => {
            let (host, for_ms) = reader_and_span(rest)?;
            Ok(Command::ListStale { host, for_ms })
        }
        _ => expected("list add|drop <host>, or list stale [to <host>] for <time>"),
    }
}

fn service(text: &str) -> Parsed<Command> {
    let (word, rest) = split_word(text);
    let (host, for_ms) = reader_and_span(rest)?;
    match word {
        "down" => Ok(Command::ServiceDown { for_ms }),
        "stale" => Ok(Command::ServiceStale { host, for_ms }),
        _ => expected("service down for <time>, or service stale [to <host>] for <time>"),
    }
}

fn upstream_fault(text: &str) -> Parsed<UpstreamFault> {
    if text == "leave" {
        return Ok(UpstreamFault::Leave);
    }
    let (words, for_ms) = with_span(text)?;
    let (word, rest) = split_word(&words);
    Ok(match word {
        "slow" => UpstreamFault::Slow {
            factor: number(rest.strip_prefix('x').ok_or("slow x<factor> for <time>")?)?,
            for_ms,
        },
        "fail" => UpstreamFault::Fail { percent: percent(rest)?, for_ms },
        "lose-answers" => UpstreamFault::LoseAnswers { percent: percent(rest)?, for_ms },
        "cut-answers" => UpstreamFault::CutAnswers { percent: percent(rest)?, for_ms },
        "refuse-connections" => UpstreamFault::RefuseConnections { for_ms },
        _ => {
            return expected(
                "leave, slow x<n>, fail <n>%, lose-answers <n>%, cut-answers <n>% or \
                 refuse-connections, each but leave with for <time>",
            );
        }
    })
}

fn expectation(text: &str) -> Parsed<Expectation> {
    let words: Vec<&str> = text.split_whitespace().collect();
    Ok(match words[..] {
        ["answered", "at-least", share] => Expectation::AnsweredPercent(percent(share)?),
        ["refused", "at-most", count] => Expectation::RefusedAtMost(number(count)?),
        ["in-force", place, version, "by", by] => Expectation::InForce {
            place: place_word(place)?,
            version: number(version)?.into(),
            by_ms: millis(by)?,
        },
        ["no-work", upstream, "after", after] => {
            Expectation::NoWork { upstream: upstream.to_owned(), after_ms: millis(after)? }
        }
        ["ended", host, "by", by] => {
            Expectation::Ended { host: host.to_owned(), by_ms: millis(by)? }
        }
        ["runs", key, times] => Expectation::Runs { key: key.to_owned(), times: number(times)? },
        _ => return expected("answered, refused, in-force, no-work, ended or runs"),
    })
}

fn split_word(text: &str) -> (&str, &str) {
    match text.split_once(char::is_whitespace) {
        Some((word, rest)) => (word, rest.trim_start()),
        None => (text, ""),
    }
}

fn with_span(text: &str) -> Parsed<(String, Millis)> {
    let (words, span) = text.rsplit_once("for ").ok_or("... for <time>")?;
    Ok((words.trim_end().to_owned(), millis(span)?))
}

fn reader_and_span(text: &str) -> Parsed<(Option<String>, Millis)> {
    let (words, for_ms) = with_span(text)?;
    Ok((words.strip_prefix("to ").map(str::to_owned), for_ms))
}

fn option(text: &str, name: &str) -> Option<String> {
    text.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        .map(str::to_owned)
}

fn place_of(word: &str) -> Parsed<(String, String)> {
    let (id, zone) = word.split_once('@').ok_or("<id>@<availability zone>")?;
    Ok((id.to_owned(), zone.to_owned()))
}

fn place_word(word: &str) -> Parsed<Place> {
    match word {
        "base" => Ok(Place::Base),
        "overlay" => Ok(Place::Overlay),
        _ => expected("base or overlay"),
    }
}

fn millis(text: &str) -> Parsed<Millis> {
    let seconds = || text.strip_suffix('s')?.parse().ok().map(Millis::from_secs);
    let millis = || text.strip_suffix("ms")?.parse().ok().map(Millis);
    millis().or_else(seconds).ok_or_else(|| "a time such as 250ms or 3s".to_owned())
}

fn percent(text: &str) -> Parsed<u32> {
    number(text.strip_suffix('%').ok_or("a share such as 20%")?)
}

fn number(text: &str) -> Parsed<u32> {
    text.parse().map_err(|_| format!("a whole number in place of {text:?}"))
}

fn json(text: &str) -> Parsed<serde_json::Value> {
    serde_json::from_str(text).map_err(|error| format!("JSON on one line ({error})"))
}

fn expected<T>(what: &str) -> Parsed<T> {
    Err(what.to_owned())
}
