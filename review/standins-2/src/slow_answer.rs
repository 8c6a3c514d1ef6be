//! Orders whose answers come in two parts, from instances of which some have turned slow.

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

/// Instances of the service; two of them are slow (a share of 0.154).
const INSTANCES: usize = 13;
const SLOW_INSTANCES: usize = 2;

/// How much longer the work takes on a slow instance.
const SLOWNESS: u32 = 5;

/// Length of an answer, such as an invoice to print.
const ANSWER_BYTES: usize = 200_000;

/// Time of the work before the first half of an answer, and before the second.
const FIRST_WORK: Duration = Duration::from_millis(50);
const SECOND_WORK: Duration = Duration::from_millis(1_080);

/// What a client waits, which is the timeout of the route, too.
const DEADLINE_MS: u64 = 8_000;

const CLIENTS: usize = 90;

/// Time between the orders of two clients: all of them are sent in the first second.
const ORDER_PAUSE: Duration = Duration::from_millis(10);

/// Losses that the rule allows.
const ALLOWED_LOSSES: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route =
        |prefix, kind| Route { prefix, kind, service: "spareslip", timeout_ms: DEADLINE_MS };
    site.configure(1, &[route("/orders/", "unsafe"), route("/parts/", "safe")]);
    let mut instances = Vec::new();
    for at in 0..INSTANCES {
        let slowness = if has_trouble && at < SLOW_INSTANCES { SLOWNESS } else { 1 };
        let instance = Instance::start(
            (&format!("i-{at:x}901"), "spareslip", ZONES[at % ZONES.len()]),
            site.instance_address(at as u8),
            record,
            Arc::new(move |exchange: &mut Exchange<'_>| {
                if exchange.path().starts_with("/parts/") {
                    exchange.begin();
                    return exchange.answer();
                }
                let length = exchange.head.length().unwrap_or(0);
                exchange.connection.read_exactly(length)?;
                exchange.begin();
                exchange.work(FIRST_WORK * slowness)?;
                let head = exchange.success_head(ANSWER_BYTES);
                exchange.connection.write(head.as_bytes())?;
                exchange.connection.write(&vec![b'i'; ANSWER_BYTES / 2])?;
                exchange.work(SECOND_WORK * slowness)?;
                exchange.connection.write(&vec![b'i'; ANSWER_BYTES / 2])?;
                exchange.record_answer();
                Ok(())
            }),
        )?;
        // The instances of this service don't tell their load.
        instance.hide_load();
        site.store.put(&instance.key(), &instance.entry("ready", 1_000, 1));
        instances.push(instance);
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, front) = (record.clone(), site.hosts[number % site.hosts.len()].front);
            thread::spawn(move || order(&record, front, number))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let (id, is_answered) =
            client.join().map_err(|_| io::Error::other("a client failed"))??;
        let mut runs = instances.iter().flat_map(|instance| instance.runs());
        if !is_answered && runs.any(|run| run.request == id) {
            lost += 1;
            record.write(&format!("{id}: an instance ran it; its client got no whole answer"));
        }
    }
    record.write(&format!("{lost} of {CLIENTS} orders lost, {ALLOWED_LOSSES} allowed"));
    Ok(if lost > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held })
}

/// Sends a read and then an order on one connection; returns the order's id, and whether its whole
/// answer came.
fn order(record: &Record, front: SocketAddr, number: usize) -> io::Result<(String, bool)> {
    let mut connection = Connection::open(front)?;
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let read = Request {
        method: "GET",
        path: "/parts/fuser",
        id: &format!("read-{number}"),
        deadline_ms: DEADLINE_MS,
        body_bytes: 0,
    };
    connection.write(&read.head())?;
    connection.read_response()?;
    thread::sleep(Duration::from_millis(500) + ORDER_PAUSE * number as u32);
    let id = format!("order-{number}");
    let request = Request {
        method: "POST",
        path: "/orders/new",
        id: &id,
        deadline_ms: DEADLINE_MS,
        body_bytes: 20,
    };
    let sent = record.now();
    record.write(&format!("client sends {id}"));
    connection.write(&request.head())?;
    connection.write(b"{\"part\": \"fuser 14\"}")?;
    let answer = connection.read_response();
    let took_s = (record.now() - sent).as_secs_f64();
    match &answer {
        Ok((head, body)) => {
            let (status, bytes) = (head.status(), body.len());
            record.write(&format!("client gets {id}: {status}, {bytes} bytes, {took_s:.3} s"));
        }
        Err(e) => {
            let bytes = connection.buffer.len();
            record.write(&format!(
                "client gets no whole answer to {id}: {e} after {bytes} bytes of the body, {took_s:.3} s"
            ));
        }
    }
    // An answer of the entry host's own is an answer, too.
    Ok((id, answer.is_ok()))
}
