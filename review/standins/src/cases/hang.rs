//! A machine is cut off for five seconds while a client has sent one request and part of the next.
//! Judged is what clients with other connections get once the machine has been in touch again.

use crate::Verdict;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::site::{Service, Site};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The printer portal.
const READS: Service = Service {
    name: "fleetwatch",
    kind: "safe",
    prefix: "/reads/",
    objective_ms: 400,
    timeout_ms: 1_200,
    work_ms: 160,
    body_bytes: 0,
    faulty: None,
};

/// Monthly statements.
const STATEMENTS: Service = Service {
    name: "ledgerview",
    kind: "safe",
    prefix: "/statements/",
    objective_ms: 1_000,
    timeout_ms: 4_000,
    work_ms: 400,
    body_bytes: 0,
    faulty: None,
};

/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_000);

/// The bound `contact`, and half a second more.
const CONTACT: Duration = Duration::from_millis(3_500);

/// Bytes of one packet of a client on an Ethernet link.
const PACKET_BYTES: usize = 1_448;

/// Bytes of cookies that the second request carries.
const COOKIE_BYTES: usize = 1_800;

/// Time between the two requests, in which the first reaches its instance.
const BETWEEN: Duration = Duration::from_millis(200);

/// Clients whose connections are open before the cut, and idle during it.
const KEPT_CLIENTS: usize = 12;

/// How late the final answer may be after the route's timeout.
const SLACK: Duration = Duration::from_millis(500);

/// Plays the case.
pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(root, &[READS, STATEMENTS], record)?;
    let mut kept = Vec::new();
    for index in 0..KEPT_CLIENTS {
        let mut client = Client::connect(site.entry)?;
        let (answer, _) = read(&mut client, &format!("before-{index}"), record)?;
        if answer != Some(200) {
            return Err(io::Error::other("a read before the cut was not served"));
        }
        kept.push(client);
    }
    let entry = site.entry;
    let cut_after = has_trouble.then(|| site.cut_after.clone());
    let pipelining = thread::spawn({
        let record = record.clone();
        move || pipeline(entry, cut_after, &record)
    });
    thread::sleep(BETWEEN + CUT);
    site.cut.end();
    record.note("the machine is connected again");
    thread::sleep(CONTACT);
    let (cpu_before, at) = (site.front.cpu(), Instant::now());
    let late = count_late(kept, record);
    let cpu_share = (site.front.cpu() - cpu_before).as_secs_f64() / at.elapsed().as_secs_f64();
    let (is_running, is_ready) = (site.front.is_running(), site.front.is_ready());
    record.note(format!(
        "the entry host runs: {is_running}, is ready: {is_ready}, uses {cpu_share:.2} of a core"
    ));
    record.note(format!(
        "of {KEPT_CLIENTS} reads, {} had no answer at the route's timeout, {} none {SLACK:?} later",
        late.at_timeout, late.after_slack
    ));
    pipelining.join().map_err(|_| io::Error::other("the pipelining client failed"))??;
    let is_broken = late.after_slack > late.at_timeout / 2 && late.after_slack > 0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends two requests one behind the other, the second longer than a packet.
fn pipeline(
    entry: std::net::SocketAddr,
    cut_after: Option<crate::link::CutAfter>,
    record: &Record,
) -> io::Result<()> {
    let mut client = Client::connect(entry)?;
    let deadline = Duration::from_millis(STATEMENTS.timeout_ms);
    let cookies = format!("Cookie: session={}\r\n", "c".repeat(COOKIE_BYTES));
    let first = statement("statement-1", deadline, "");
    let second = statement("statement-2", deadline, &cookies);
    client.send(&first)?;
    record.note("a client sends statement-1");
    thread::sleep(BETWEEN);
    if let Some(cut_after) = cut_after {
        cut_after.arm(PACKET_BYTES);
        record.note("the machine is cut off once a packet of the next request has arrived");
    }
    client.send(&second)?;
    record.note("the client sends statement-2 behind it");
    for _ in 0..2 {
        match client.receive(deadline) {
            Ok(Some(answer)) => record.note(format!(
                "the client gets {} for {}",
                answer.status(),
                answer.header("x-jujubedeal-request-id").unwrap_or_default()
            )),
            Ok(None) | Err(_) => {
                record.note("the client gets no answer before its deadline, and resets");
                return client.reset();
            }
        }
    }
    Ok(())
}

fn statement<'a>(id: &'a str, deadline: Duration, fields: &'a str) -> Request<'a> {
    Request { id, method: "GET", prefix: STATEMENTS.prefix, deadline, fields, body: b"" }
}

/// Reads without an answer.
#[derive(Debug, Default)]
struct Late {
    at_timeout: usize,
    after_slack: usize,
}

/// Sends a read on each kept connection, all at once.
fn count_late(kept: Vec<Client>, record: &Record) -> Late {
    let readers: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(index, mut client)| {
            let record = record.clone();
            thread::spawn(move || read(&mut client, &format!("after-{index}"), &record))
        })
        .collect();
    let timeout = Duration::from_millis(READS.timeout_ms);
    let mut late = Late::default();
    for reader in readers {
        match reader.join() {
            Ok(Ok((Some(_), took))) => late.at_timeout += usize::from(took > timeout),
            // Neither a closed connection nor a failed one counts as unanswered here.
            Ok(Ok((None, took))) if took < timeout => {}
            Ok(Ok((None, _))) => {
                late.at_timeout += 1;
                late.after_slack += 1;
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    late
}

/// Sends a read; returns the status of its answer, none if there was none within the slack after
/// the route's timeout, and how long it took.
fn read(client: &mut Client, id: &str, record: &Record) -> io::Result<(Option<u16>, Duration)> {
    let timeout = Duration::from_millis(READS.timeout_ms);
    let request = Request {
        id,
        method: "GET",
        prefix: READS.prefix,
        deadline: timeout,
        fields: "",
        body: b"",
    };
    let sent = Instant::now();
    client.send(&request)?;
    let answer = client.receive(timeout + SLACK);
    let took = sent.elapsed();
    let status = answer.ok().flatten().map(|answer| answer.status());
    record.note(match status {
        Some(status) => format!("{id} gets {status} after {} ms", took.as_millis()),
        None => format!("{id} has no answer after {} ms", took.as_millis()),
    });
    Ok((status, took))
}
