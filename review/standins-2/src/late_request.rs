//! A read that a client sends behind another one, late in the planned stop of an entry host.

use crate::Verdict;
use crate::http::{Connection, Request};
use crate::instance::{Exchange, Instance};
use crate::record::Record;
use crate::site::{Route, Site, ZONES};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 3;
const DEADLINE_MS: u64 = 8_000;

/// Time of the work on the first and on the second read of a client.
const FIRST_WORK: Duration = Duration::from_millis(3_900);
const SECOND_WORK: Duration = Duration::from_millis(2_700);

/// Time from the first read to the stop, and from there to the second read: beyond the three
/// seconds in which a request that is still at work late in the grace period is excused.
const STOP_AFTER: Duration = Duration::from_millis(200);
const SECOND_AFTER: Duration = Duration::from_millis(3_300);

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route =
        |prefix| Route { prefix, kind: "safe", service: "ledgerview", timeout_ms: DEADLINE_MS };
    site.configure(1, &[route("/ledger/")]);
    let mut instances = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let instance = Instance::start(
            (&format!("i-{at}e01"), "ledgerview", zone),
            site.instance_address(at as u8),
            record,
            Arc::new(|exchange: &mut Exchange<'_>| {
                let is_first = exchange.path().ends_with("first");
                exchange.begin();
                exchange.work(if is_first { FIRST_WORK } else { SECOND_WORK })?;
                exchange.answer()
            }),
        )?;
        site.store.put(&instance.key(), &instance.entry("ready", 1_000, 1));
        instances.push(instance);
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));
    let host = &site.hosts[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, front) = (record.clone(), host.front);
            thread::spawn(move || read_twice(&record, front, number))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble {
        host.signal("TERM", record)?;
    }
    let mut lost = 0;
    for client in clients {
        let unanswered = client.join().map_err(|_| io::Error::other("a client failed"))??;
        for id in unanswered {
            let has_run = instances.iter().any(|it| it.runs().iter().any(|run| run.request == id));
            record.write(&format!("{id}: no answer; passed on to an instance: {has_run}"));
            lost += usize::from(has_run);
        }
    }
    record.write(&format!("{lost} requests were passed on and lost"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends the second read while the first one is answered; returns those without an answer.
fn read_twice(record: &Record, front: SocketAddr, number: usize) -> io::Result<Vec<String>> {
    let ids = ["first", "second"].map(|kind| format!("{number}-{kind}"));
    let mut connection = Connection::open(front)?;
    for (at, id) in ids.iter().enumerate() {
        let path = ["/ledger/first", "/ledger/second"][at];
        let request = Request { method: "GET", path, id, deadline_ms: DEADLINE_MS, body_bytes: 0 };
        if at == 1 {
            thread::sleep(STOP_AFTER + SECOND_AFTER);
        }
        record.write(&format!("client sends {id}"));
        connection.write(&request.head())?;
    }
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut unanswered = Vec::new();
    for id in ids {
        match connection.read_response() {
            Ok((head, _)) => {
                let close = head.field("connection").unwrap_or("-");
                record.write(&format!("client gets {id}: {}, connection {close}", head.status()));
            }
            Err(e) => {
                record.write(&format!("client gets no answer to {id}: {e}"));
                unanswered.push(id);
            }
        }
    }
    Ok(unanswered)
}
