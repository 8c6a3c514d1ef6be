//! A client sends a large order in small chunks. Judged is what clients with other connections get
//! meanwhile. Without the trouble the same order is sent with its length.

use crate::Verdict;
use crate::cases::kept::{self, READS};
use crate::client::{Client, Request};
use crate::record::Record;
use crate::site::{Service, Site};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
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

/// Bytes of the order: half of the limit `bodyBytes`.
const ORDER_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of a chunk, as of a client that sends each field of a list once it has it.
const CHUNK_BYTES: usize = 32;

/// Bytes that the client writes at a time.
const WRITE_BYTES: usize = 256 * 1024;

/// Time between the start of the order and the reads.
const BEFORE_READS: Duration = Duration::from_millis(200);

/// Plays the case.
pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(root, &[READS, ORDERS], record)?;
    let entry = site.front.address;
    let clients = kept::open(entry, 0, record)?;
    let (cpu_before, at) = (site.front.cpu(), Instant::now());
    let ordering = thread::spawn({
        let record = record.clone();
        move || send_order(entry, has_trouble, &record)
    });
    thread::sleep(BEFORE_READS);
    let late = kept::count_late(clients, 0, record);
    let cpu_share = (site.front.cpu() - cpu_before).as_secs_f64() / at.elapsed().as_secs_f64();
    late.note(cpu_share, record);
    ordering.join().map_err(|_| io::Error::other("the ordering client failed"))??;
    Ok(late.verdict())
}

/// Sends the order, and leaves at its deadline.
fn send_order(entry: SocketAddr, in_chunks: bool, record: &Record) -> io::Result<()> {
    let deadline = Duration::from_millis(ORDERS.timeout_ms);
    let body = vec![b'x'; ORDER_BYTES];
    let request = Request {
        id: "large-order",
        method: "POST",
        prefix: ORDERS.prefix,
        deadline,
        fields: "",
        body: &body,
    };
    let bytes = if in_chunks { request.encode_in_chunks(CHUNK_BYTES) } else { request.encode() };
    let mut connection = Client::connect(entry)?;
    let sent = Instant::now();
    record.note(format!("an order of {ORDER_BYTES} bytes is sent, in chunks: {in_chunks}"));
    for part in bytes.chunks(WRITE_BYTES) {
        let left = deadline.saturating_sub(sent.elapsed());
        if left.is_zero() || connection.send_within(part, left).is_err() {
            record.note("the order is not sent whole before its deadline, and its client leaves");
            return Ok(());
        }
    }
    let left = deadline.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
    record.note(match connection.receive(left) {
        Ok(Some(answer)) => format!("the order gets {}", answer.status()),
        Ok(None) => "the order's connection closes without an answer".to_owned(),
        Err(_) => "the order has no answer before its deadline".to_owned(),
    });
    Ok(())
}
