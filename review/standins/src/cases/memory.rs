//! Many clients send large orders at once. The platform kills a process that exceeds its memory.
//! Judged is whether small orders that are under way on kept connections get their answers.

use crate::Verdict;
use crate::client::{Client, Request};
use crate::front::MEMORY_MB;
use crate::record::Record;
use crate::site::{Service, Site};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Parts orders and invoices.
const ORDERS: Service = Service {
    name: "spareslip",
    kind: "unsafe",
    prefix: "/orders/",
    objective_ms: 500,
    timeout_ms: 2_500,
    work_ms: 210,
};

/// Bytes of a large order, with its attachments: less than the limit `bodyBytes`.
const LARGE_BYTES: usize = 36 * 1024 * 1024;

/// Bytes that its client sends at a time, and the time between two such pieces: 24 MB a second.
const PIECE_BYTES: usize = 1024 * 1024;
const BETWEEN_PIECES: Duration = Duration::from_millis(44);

/// The end of a large order, which its client sends once all have sent the rest.
const LAST_BYTES: usize = 1024;

/// Clients that send a large order at the same time, on a usual day and in a burst.
const USUAL_CLIENTS: usize = 3;
const BURST_CLIENTS: usize = 5;

/// Clients that send small orders on kept connections, one after the other.
const SMALL_CLIENTS: usize = 12;

/// Time between their starts, so that their orders are not all at the same stage.
const BETWEEN_STARTS: Duration = Duration::from_millis(18);

/// How long small orders are sent.
const RUN_TIME: Duration = Duration::from_secs(8);

/// When the large orders are sent.
const LARGE_AT: Duration = Duration::from_secs(3);

/// Time between two looks of the platform at the memory of the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Requests that the rule excuses.
const EXCUSED: usize = 3;

/// Plays the case.
pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(root, &[ORDERS], record)?;
    let entry = site.front.address;
    let begun = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let small: Vec<_> = (0..SMALL_CLIENTS)
        .map(|index| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::sleep(BETWEEN_STARTS);
            thread::spawn(move || send_small_orders(entry, index, &is_over, &record))
        })
        .collect();
    thread::sleep(LARGE_AT);
    let clients = if has_trouble { BURST_CLIENTS } else { USUAL_CLIENTS };
    let last = Arc::new(Barrier::new(clients));
    let large: Vec<_> = (0..clients)
        .map(|index| {
            let (record, last) = (record.clone(), Arc::clone(&last));
            thread::spawn(move || send_large_order(entry, index, &last, &record))
        })
        .collect();
    let mut peak_mb = 0;
    let mut is_killed = false;
    while begun.elapsed() < RUN_TIME && !is_killed {
        thread::sleep(LOOK_INTERVAL);
        let memory_mb = site.front.memory_mb();
        peak_mb = peak_mb.max(memory_mb);
        if memory_mb > MEMORY_MB {
            record.note(format!("the process holds {memory_mb} MB: the platform kills it"));
            site.front.kill();
            is_killed = true;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    let mut unanswered = Vec::new();
    for client in small {
        unanswered.extend(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    for client in large {
        let _ = client.join();
    }
    let lost: Vec<&String> = unanswered.iter().filter(|id| was_passed_on(&site, id)).collect();
    record.note(format!("the process held {peak_mb} MB at most, of {MEMORY_MB}"));
    record.note(format!(
        "{} small orders were passed on, and their kept connections closed without an answer: {lost:?}",
        lost.len()
    ));
    Ok(if lost.len() > EXCUSED { Verdict::Broken } else { Verdict::Held })
}

/// Whether an instance has run a request.
fn was_passed_on(site: &Site, id: &str) -> bool {
    !site.runs_of(id).is_empty()
}

/// Sends orders on one connection until the run is over; returns those whose connection was closed
/// without an answer.
fn send_small_orders(
    entry: SocketAddr,
    client: usize,
    is_over: &AtomicBool,
    record: &Record,
) -> io::Result<Vec<String>> {
    let deadline = Duration::from_millis(ORDERS.timeout_ms);
    let mut connection = Client::connect(entry)?;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("small-{client}-{number}");
        let request = Request {
            id: &id,
            method: "POST",
            prefix: ORDERS.prefix,
            deadline,
            fields: "",
            body: &[b'o'; 300],
        };
        let answer =
            connection.send_bytes(&request.encode()).and_then(|()| connection.receive(deadline));
        match answer {
            Ok(Some(answer)) if answer.status() == 200 => {}
            Ok(Some(answer)) => record.note(format!("{id} gets {}", answer.status())),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                record.note(format!("{id} has no answer before its deadline"));
                break;
            }
            Ok(None) | Err(_) => {
                record.note(format!("{id}: the connection closes without an answer"));
                return Ok(vec![id]);
            }
        }
    }
    Ok(Vec::new())
}

fn send_large_order(
    entry: SocketAddr,
    client: usize,
    last: &Barrier,
    record: &Record,
) -> io::Result<()> {
    let id = format!("large-{client}");
    let body = vec![b'x'; LARGE_BYTES];
    let deadline = Duration::from_millis(ORDERS.timeout_ms);
    let request = Request {
        id: &id,
        method: "POST",
        prefix: ORDERS.prefix,
        deadline,
        fields: "",
        body: &body,
    };
    let bytes = request.encode();
    let (first, rest) = bytes.split_at(bytes.len() - LAST_BYTES);
    let mut connection = Client::connect(entry)?;
    record.note(format!("{id} is sent: {LARGE_BYTES} bytes"));
    let sent_first = first.chunks(PIECE_BYTES).try_for_each(|piece| {
        thread::sleep(BETWEEN_PIECES);
        connection.send_bytes(piece)
    });
    last.wait();
    let sent = sent_first.and_then(|()| connection.send_bytes(rest));
    let answer = sent.and_then(|()| connection.receive(deadline));
    record.note(match answer {
        Ok(Some(answer)) => format!("{id} gets {}", answer.status()),
        Ok(None) => format!("{id}: the connection closes without an answer"),
        Err(e) => format!("{id} gets no answer: {e}"),
    });
    Ok(())
}
