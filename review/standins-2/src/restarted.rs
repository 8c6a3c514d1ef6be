//! An instance that restarts after the clock of its machine was set back, and drains later.

use crate::Verdict;
use crate::http::{Connection, Request};
use crate::instance::{Exchange, Handler, Instance};
use crate::record::Record;
use crate::site::{Route, Site, ZONES};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Instances of the service; one of them is on a machine whose clock is wrong (a share of 0.143).
const INSTANCES: usize = 7;

/// How much the clock is ahead, until it is set right.
const STEP_MS: u64 = 2_000;

/// Length of the first run of the instance, and time until it has started again.
const FIRST_RUN: Duration = Duration::from_millis(1_000);
const RESTART: Duration = Duration::from_millis(200);

/// Time until the instance drains: long after the disruption.
const CALM: Duration = Duration::from_secs(6);

/// `drainTimeout` of the settings, and how much longer the instance serves ("at times many seconds").
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const LONGER: Duration = Duration::from_secs(4);

const DEADLINE_MS: u64 = 1_500;
const WORK: Duration = Duration::from_millis(400);
const CLIENTS: usize = 14;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route =
        Route { prefix: "/orders/", kind: "unsafe", service: "spareslip", timeout_ms: DEADLINE_MS };
    site.configure(1, &[route]);
    let handler: Handler = Arc::new(|exchange: &mut Exchange<'_>| {
        let length = exchange.head.length().unwrap_or(0);
        exchange.connection.read_exactly(length)?;
        exchange.begin();
        exchange.work(WORK)?;
        exchange.answer()
    });
    let mut instances = Vec::new();
    for at in 0..INSTANCES {
        let instance = Instance::start(
            (&format!("i-{at}f01"), "spareslip", ZONES[at % ZONES.len()]),
            site.instance_address(at as u8),
            record,
            Arc::clone(&handler),
        )?;
        if at > 0 {
            site.store.put(&instance.key(), &instance.entry("ready", unix_ms() - 60_000, 40));
        }
        instances.push(instance);
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));

    let instance = instances[0].clone();
    let ahead_ms = if has_trouble { STEP_MS } else { 0 };
    let publish = |state: &str, born_ms: u64, sequence: u64| {
        site.store.put(&instance.key(), &instance.entry(state, born_ms, sequence));
        let id = &instance.id;
        record.write(&format!(
            "store acknowledges {id}: {state}, born {born_ms}, sequence {sequence}"
        ));
    };
    publish("ready", unix_ms() + ahead_ms, 1);
    thread::sleep(FIRST_RUN);
    record.write(&format!("{} crashes; the clock of its machine is right again", instance.id));
    instance.close_connections();
    thread::sleep(RESTART);
    let born_ms = unix_ms();
    publish("ready", born_ms, 1);

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let front = site.hosts[number % site.hosts.len()].front;
            thread::spawn(move || order_on(&record, front, number, &is_over))
        })
        .collect();
    thread::sleep(CALM);
    publish("draining", born_ms, 5);
    let drained_at = record.now();
    thread::sleep(DRAIN_TIMEOUT + LONGER);
    site.store.delete(&instance.key());
    record.write(&format!("{} exits, and its entry is removed", instance.id));
    instance.close_connections();
    instance.stop();
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::Relaxed);
    let mut failed = 0;
    for client in clients {
        failed += client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    let runs = instance.runs();
    let late = runs.iter().filter(|run| run.at > drained_at + DRAIN_TIMEOUT).count();
    let before = runs.iter().filter(|run| run.at < drained_at).count();
    record.write(&format!("{before} orders reached {} before it drained", instance.id));
    record.write(&format!(
        "{late} orders reached it later than drainTimeout after the store's acknowledgement"
    ));
    record.write(&format!("{failed} orders in all got another answer than 200, or none"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sends orders on one connection until `is_over`; returns the number of those that failed.
fn order_on(
    record: &Record,
    front: SocketAddr,
    number: usize,
    is_over: &AtomicBool,
) -> io::Result<usize> {
    let (mut failed, mut count) = (0, 0);
    let mut connection = Connection::open(front)?;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("order-{number}-{count}");
        let request = Request {
            method: "POST",
            path: "/orders/new",
            id: &id,
            deadline_ms: DEADLINE_MS,
            body_bytes: 20,
        };
        connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        connection.write(&request.head())?;
        connection.write(b"{\"part\": \"fuser 14\"}")?;
        match connection.read_response() {
            Ok((head, _)) if head.status() == 200 => {}
            other => {
                let status = other.as_ref().ok().map(|(head, _)| head.status());
                record.write(&format!("client gets {id}: {status:?}"));
                failed += 1;
                if other.is_err() {
                    connection = Connection::open(front)?;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(failed)
}
