//! Some instances break off one answer in thirty-four, for five seconds. Judged is what clients get whose requests
//! were sent behind such a one on the same connection, and which sound instances have answered.

use crate::Verdict;
use crate::client::{Client, Request};
use crate::instance::RunEnd;
use crate::record::Record;
use crate::site::{Faulty, Service, Site};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Monthly statements, with pictures.
const STATEMENTS: Service = Service {
    name: "ledgerview",
    kind: "safe",
    prefix: "/statements/",
    objective_ms: 1_000,
    timeout_ms: 3_000,
    work_ms: 150,
    body_bytes: 100_000,
    faulty: Some(FAULTY),
};

/// Half of the instances break off three answers in a hundred at most.
const FAULTY: Faulty = Faulty { instances: 3, breaks_off_every: 34 };

/// Clients, and requests that each sends without waiting for an answer.
const CLIENTS: usize = 4;
const BATCH: usize = 6;

/// How long requests are sent before, during and after the faults of the instances.
const BEFORE: Duration = Duration::from_secs(3);
const FAULT_TIME: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(2);

/// Requests that the rule excuses.
const EXCUSED: usize = 3;

/// Plays the case.
pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(root, &[STATEMENTS], record)?;
    let (entry, until) = (site.front.address, Instant::now() + BEFORE + FAULT_TIME + AFTER);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || send_batches(entry, client, until, &record))
        })
        .collect();
    thread::sleep(BEFORE);
    site.faults.store(has_trouble, Ordering::SeqCst);
    thread::sleep(FAULT_TIME);
    site.faults.store(false, Ordering::SeqCst);
    let mut unanswered = Vec::new();
    let mut answered = 0;
    for client in clients {
        let outcome = client.join().map_err(|_| io::Error::other("a client failed"))??;
        answered += outcome.answered;
        unanswered.extend(outcome.unanswered);
    }
    let lost: Vec<String> = unanswered.into_iter().filter(|id| was_sound(&site, id)).collect();
    record.note(format!("{answered} requests were answered"));
    record.note(format!(
        "{} were passed on to sound instances, and their kept connections closed without an answer: {lost:?}",
        lost.len()
    ));
    Ok(if lost.len() > EXCUSED { Verdict::Broken } else { Verdict::Held })
}

/// Whether a request was passed on, and no instance broke off its answer.
fn was_sound(site: &Site, id: &str) -> bool {
    let runs = site.runs_of(id);
    !runs.is_empty() && runs.iter().all(|run| run.end != RunEnd::BrokenOff)
}

/// What became of a client's requests.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    /// Requests whose connection was closed without an answer.
    unanswered: Vec<String>,
}

/// Sends batches until the run is over. After a closed connection it goes on with a new one.
fn send_batches(
    entry: SocketAddr,
    client: usize,
    until: Instant,
    record: &Record,
) -> io::Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut connection = Client::connect(entry)?;
    for batch in 0.. {
        if Instant::now() > until {
            break;
        }
        // The first request on a connection is sent alone, so that the connection is a kept one.
        let requests = if batch == 0 { 1 } else { BATCH };
        let ids: Vec<String> =
            (0..requests).map(|number| format!("s-{client}-{batch}-{number}")).collect();
        if !send_batch(&mut connection, &ids, &mut outcome, record)? {
            connection = Client::connect(entry)?;
            let id = format!("s-{client}-{batch}-new");
            send_batch(&mut connection, &[id], &mut outcome, record)?;
        }
    }
    Ok(outcome)
}

/// Sends requests one behind the other, and reads their answers; false if the connection ended.
fn send_batch(
    connection: &mut Client,
    ids: &[String],
    outcome: &mut Outcome,
    record: &Record,
) -> io::Result<bool> {
    let deadline = Duration::from_millis(STATEMENTS.timeout_ms);
    for id in ids {
        let prefix = STATEMENTS.prefix;
        let request = Request { id, method: "GET", prefix, deadline, fields: "", body: b"" };
        connection.send(&request)?;
    }
    let mut open: HashSet<&String> = ids.iter().collect();
    for id in ids {
        match connection.receive(deadline) {
            Ok(Some(answer)) => {
                outcome.answered += 1;
                open.remove(id);
                if answer.status() != 200 {
                    record.note(format!("{id} gets {}", answer.status()));
                }
            }
            Ok(None) | Err(_) => {
                let mut unanswered: Vec<String> = open.into_iter().cloned().collect();
                unanswered.sort();
                record.note(format!("the connection ends in the answer to {id}: {unanswered:?}"));
                outcome.unanswered.extend(unanswered);
                return Ok(false);
            }
        }
    }
    Ok(true)
}
