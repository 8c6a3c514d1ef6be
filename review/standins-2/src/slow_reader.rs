//! Orders whose instance reads their bodies slowly, at an entry host that is stopped as planned.

use crate::Verdict;
use crate::http::{Connection, Request};
use crate::instance::{Handler, Instance};
use crate::record::Record;
use crate::site::{Route, Site, ZONES};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ORDERS: usize = 4;

/// Size of an order; the limit of the configuration is 1 MiB.
const BODY_BYTES: usize = 600_000;

/// What the client waits, which is the timeout of the route, too.
const DEADLINE_MS: u64 = 6_000;

/// Time after the requests at which the host is stopped.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// Time for which an instance with trouble reads nothing more of a body that it has begun to read.
const PAUSE: Duration = Duration::from_millis(3_800);

/// Time of the work after the body was read.
const WORK: Duration = Duration::from_millis(200);

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route =
        Route { prefix: "/orders/", kind: "upload", service: "spareslip", timeout_ms: DEADLINE_MS };
    site.configure(1, &[route]);
    let handler: Handler = Arc::new(move |exchange| {
        let length = exchange.head.length().unwrap_or(0);
        exchange.begin();
        if has_trouble {
            thread::sleep(PAUSE);
            exchange.connection.read_exactly(length)?;
            exchange.work(WORK)?;
        } else {
            // The same time in all, but the body is read at once.
            exchange.connection.read_exactly(length)?;
            exchange.work(PAUSE + WORK)?;
        }
        exchange.answer()
    });
    let mut instances = Vec::new();
    for (at, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{at}0b1");
        let address = site.instance_address(at as u8);
        let instance =
            Instance::start((&id, "spareslip", zone), address, record, Arc::clone(&handler))?;
        site.store.put(&instance.key(), &instance.entry("ready", 1_000, 1));
        instances.push(instance);
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));
    let host = &site.hosts[0];
    let orders: Vec<_> = (0..ORDERS)
        .map(|number| {
            let (record, front) = (record.clone(), host.front);
            thread::spawn(move || send_order(&record, front, number))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    host.signal("TERM", record)?;
    let mut broken_off = 0;
    for order in orders {
        let (id, answer) = order.join().map_err(|_| io::Error::other("a client failed"))??;
        let has_run = instances.iter().any(|it| it.runs().iter().any(|run| run.request == id));
        if has_run && answer != Some(200) {
            broken_off += 1;
            record.write(&format!("{id}: an instance was at work on it; answer: {answer:?}"));
        }
    }
    record.write(&format!("{broken_off} of {ORDERS} orders were broken off"));
    Ok(if broken_off > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends an order; returns its id and the status of the answer, none if the connection ended.
fn send_order(
    record: &Record,
    front: std::net::SocketAddr,
    number: usize,
) -> io::Result<(String, Option<u16>)> {
    let id = format!("order-{number}");
    let request = Request {
        method: "POST",
        path: "/orders/new",
        id: &id,
        deadline_ms: DEADLINE_MS,
        body_bytes: BODY_BYTES,
    };
    let mut connection = Connection::open(front)?;
    record.write(&format!("client sends {id}: POST, {BODY_BYTES} bytes"));
    connection.write(&request.head())?;
    connection.write(&vec![b'o'; BODY_BYTES])?;
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let answer = connection.read_response().ok().map(|(head, _)| head);
    let cause = answer.as_ref().and_then(|head| head.field("x-jujubedeal-cause")).unwrap_or("-");
    let status = answer.as_ref().map(|head| head.status());
    record.write(&format!("client gets {id}: {status:?}, cause {cause}"));
    Ok((id, status))
}
