//! A machine freezes for four seconds and wakes again, while a part of what a client sends is still
//! on its way. Judged is what clients with other connections get once it has been in touch again.

use crate::Verdict;
use crate::cases::kept::{self, READS};
use crate::client::{Client, Request};
use crate::link;
use crate::record::Record;
use crate::site::{Service, Site};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Monthly statements.
const STATEMENTS: Service = Service {
    name: "ledgerview",
    kind: "safe",
    prefix: "/statements/",
    objective_ms: 2_000,
    timeout_ms: 10_000,
    work_ms: 400,
};

/// Length of a freeze, and the most freezes.
const FREEZE: Duration = Duration::from_millis(4_000);
const FREEZES: usize = 3;

/// Time of traffic before each freeze.
const BEFORE: Duration = Duration::from_millis(2_000);

/// The bound `contact`, and a little more.
const CONTACT: Duration = Duration::from_millis(3_100);

/// Time between places and their clients, both ways.
const ROUND_TRIP: Duration = Duration::from_millis(6);

/// Time for the host to read a flight, before the next arrives.
const READ_TIME: Duration = Duration::from_millis(2);

/// Clients that send statement requests one behind the other, and how many at a time.
const PIPELINING_CLIENTS: usize = 3;
const BATCH: usize = 10;

/// Bytes of cookies that each of them carries.
const COOKIE_BYTES: usize = 1_900;

/// Plays the case.
pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(root, &[READS, STATEMENTS], record)?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (entry, flights) = link::start(any, site.front.address, ROUND_TRIP)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let pipelining: Vec<_> = (0..PIPELINING_CLIENTS)
        .map(|client| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || send_batches(entry, client, &is_over))
        })
        .collect();
    let mut verdict = Verdict::Held;
    for round in 0..FREEZES {
        let clients = kept::open(entry, round, record)?;
        thread::sleep(BEFORE);
        if has_trouble {
            while flights.try_recv().is_ok() {}
            flights.recv_timeout(BEFORE).map_err(io::Error::other)?;
            thread::sleep(READ_TIME);
            site.front.freeze()?;
            record.note("the machine freezes");
        }
        thread::sleep(FREEZE);
        site.front.wake()?;
        record.note("the machine goes on");
        thread::sleep(CONTACT);
        let (cpu_before, at) = (site.front.cpu(), Instant::now());
        let late = kept::count_late(clients, round, record);
        let cpu_share = (site.front.cpu() - cpu_before).as_secs_f64() / at.elapsed().as_secs_f64();
        late.note(cpu_share, record);
        verdict = late.verdict();
        if verdict == Verdict::Broken {
            break;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in pipelining {
        let _ = client.join();
    }
    Ok(verdict)
}

/// Sends batches of statement requests, and reads the answers, until the run is over.
fn send_batches(entry: SocketAddr, client: usize, is_over: &AtomicBool) -> io::Result<()> {
    let deadline = Duration::from_millis(STATEMENTS.timeout_ms);
    let cookies = format!("Cookie: session={}\r\n", "c".repeat(COOKIE_BYTES));
    let mut connection = Client::connect(entry)?;
    for batch in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let mut bytes = Vec::new();
        for number in 0..BATCH {
            let id = format!("statement-{client}-{batch}-{number}");
            let (method, prefix, fields) = ("GET", STATEMENTS.prefix, cookies.as_str());
            let request = Request { id: &id, method, prefix, deadline, fields, body: b"" };
            bytes.extend(request.encode());
        }
        let sent = Instant::now();
        let mut is_open = connection.send_bytes(&bytes).is_ok();
        for _ in 0..BATCH {
            let left = deadline.saturating_sub(sent.elapsed()).max(Duration::from_millis(1));
            is_open = is_open && matches!(connection.receive(left), Ok(Some(_)));
        }
        if !is_open {
            connection = Client::connect(entry)?;
        }
    }
    Ok(())
}
