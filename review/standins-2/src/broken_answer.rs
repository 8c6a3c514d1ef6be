//! Reads that clients send behind a read whose instance breaks its long answer off.

use crate::Verdict;
use crate::http::{Connection, Request};
use crate::instance::{Exchange, Handler, Instance};
use crate::record::Record;
use crate::site::{Route, Site, ZONES};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 4;
const ROUNDS: usize = 240;

/// Length of a long answer, and how much of it an instance with trouble sends of some.
const ANSWER_BYTES: usize = 500_000;
const SENT_BYTES: usize = 400_000;

/// One instance of three, which is less than a share of 0.35, breaks off one answer in 50 (0.02).
const BROKEN_ONE_IN: usize = 50;

const DEADLINE_MS: u64 = 4_000;

/// Time of the work on a long answer after its first part was sent, and on a short one.
const LONG_WORK: Duration = Duration::from_millis(40);
const SHORT_WORK: Duration = Duration::from_millis(20);

/// Losses that the rule allows.
const ALLOWED_LOSSES: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route = |prefix, kind, service| Route { prefix, kind, service, timeout_ms: DEADLINE_MS };
    let statements = route("/statements/", "download", "ledgerview");
    site.configure(1, &[statements, route("/readings/", "safe", "fleetwatch")]);
    let mut readers = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let (long_id, short_id) = (format!("i-{at}c01"), format!("i-{at}d01"));
        let breaks_off = has_trouble && at == 0;
        let long = Instance::start(
            (&long_id, "ledgerview", zone),
            site.instance_address(at as u8),
            record,
            long_answers(breaks_off),
        )?;
        let short = Instance::start(
            (&short_id, "fleetwatch", zone),
            site.instance_address(10 + at as u8),
            record,
            Arc::new(|exchange: &mut Exchange<'_>| {
                exchange.begin();
                exchange.work(SHORT_WORK)?;
                exchange.answer()
            }),
        )?;
        for instance in [&long, &short] {
            site.store.put(&instance.key(), &instance.entry("ready", 1_000, 1));
        }
        readers.push(short);
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, front) = (record.clone(), site.hosts[number % 3].front);
            thread::spawn(move || read_on(&record, front, number))
        })
        .collect();
    let mut unanswered = Vec::new();
    for client in clients {
        unanswered.extend(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    let runs: Vec<String> =
        readers.iter().flat_map(|it| it.runs()).map(|run| run.request).collect();
    let lost: Vec<&String> = unanswered.iter().filter(|id| runs.contains(id)).collect();
    for id in &lost {
        record.write(&format!("{id}: a sound instance ran it; its client got no answer"));
    }
    record.write(&format!("{} requests lost, {ALLOWED_LOSSES} allowed", lost.len()));
    Ok(if lost.len() > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held })
}

/// Sends long answers; breaks some off after most of the body.
fn long_answers(breaks_off: bool) -> Handler {
    let answered = AtomicUsize::new(0);
    Arc::new(move |exchange| {
        exchange.begin();
        let head = exchange.success_head(ANSWER_BYTES);
        exchange.connection.write(head.as_bytes())?;
        exchange.connection.write(&vec![b's'; SENT_BYTES])?;
        exchange.work(LONG_WORK)?;
        let number = answered.fetch_add(1, Ordering::Relaxed);
        if breaks_off && number % BROKEN_ONE_IN == BROKEN_ONE_IN / 2 {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        exchange.connection.write(&vec![b's'; ANSWER_BYTES - SENT_BYTES])
    })
}

/// Sends reads on one connection, two short ones behind each long one; returns the short ones
/// whose connection ended without their answer.
fn read_on(record: &Record, front: SocketAddr, number: usize) -> io::Result<Vec<String>> {
    let mut unanswered = Vec::new();
    let mut connection = Connection::open(front)?;
    for round in 0..ROUNDS {
        let ids = ["long", "first", "second"].map(|kind| format!("{number}-{round}-{kind}"));
        let paths = ["/statements/s", "/readings/a", "/readings/b"];
        let mut bytes = Vec::new();
        for (id, path) in ids.iter().zip(paths) {
            let request =
                Request { method: "GET", path, id, deadline_ms: DEADLINE_MS, body_bytes: 0 };
            bytes.extend(request.head());
        }
        connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        connection.write(&bytes)?;
        for (at, id) in ids.iter().enumerate() {
            match connection.read_response() {
                Ok((head, _)) if head.status() == 200 => {}
                Ok((head, _)) => record.write(&format!("client gets {id}: {}", head.status())),
                Err(e) => {
                    record.write(&format!("client gets no answer to {id}: {e}"));
                    unanswered.extend(ids[at.max(1)..].iter().cloned());
                    connection = Connection::open(front)?;
                    break;
                }
            }
        }
    }
    Ok(unanswered)
}
