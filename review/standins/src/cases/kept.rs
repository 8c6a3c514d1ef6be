//! Reads on connections of clients that the trouble doesn't concern, and the rule for them: of those
//! without an answer at their route's timeout, not more than half have none half a second later.

use crate::Verdict;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::site::Service;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The printer portal.
pub const READS: Service = Service {
    name: "fleetwatch",
    kind: "safe",
    prefix: "/reads/",
    objective_ms: 400,
    timeout_ms: 1_200,
    work_ms: 160,
};

/// Clients whose connections are open and idle until their read.
const CLIENTS: usize = 12;

/// How late the final answer may be after the route's timeout.
const SLACK: Duration = Duration::from_millis(500);

/// Opens the connections, each with a read that is answered.
pub fn open(entry: SocketAddr, round: usize, record: &Record) -> io::Result<Vec<Client>> {
    let mut clients = Vec::new();
    for index in 0..CLIENTS {
        let mut client = Client::connect(entry)?;
        read(&mut client, &format!("before-{round}-{index}"), record)?;
        clients.push(client);
    }
    Ok(clients)
}

/// Reads without an answer.
#[derive(Debug, Default)]
pub struct Late {
    at_timeout: usize,
    after_slack: usize,
}

impl Late {
    /// Whether the rule was kept.
    pub fn verdict(&self) -> Verdict {
        match self.after_slack > self.at_timeout / 2 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }

    /// Notes the result, and what share of a core the entry host used meanwhile.
    pub fn note(&self, cpu_share: f64, record: &Record) {
        record.note(format!(
            "of {CLIENTS} reads, {} had no answer at the route's timeout, {} none {SLACK:?} later; \
             the entry host uses {cpu_share:.2} of a core",
            self.at_timeout, self.after_slack
        ));
    }
}

/// Sends a read on each connection, all at once.
pub fn count_late(clients: Vec<Client>, round: usize, record: &Record) -> Late {
    let readers: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(index, mut client)| {
            let record = record.clone();
            thread::spawn(move || read(&mut client, &format!("after-{round}-{index}"), &record))
        })
        .collect();
    let timeout = Duration::from_millis(READS.timeout_ms);
    let mut late = Late::default();
    for reader in readers {
        match reader.join() {
            Ok(Ok((Some(_), took))) => late.at_timeout += usize::from(took > timeout),
            // A connection that was closed is no wait for an answer.
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
    client.send_bytes(&request.encode())?;
    let answer = client.receive(timeout + SLACK);
    let took = sent.elapsed();
    let status = answer.ok().flatten().map(|answer| answer.status());
    record.note(match status {
        Some(status) => format!("{id} gets {status} after {} ms", took.as_millis()),
        None => format!("{id} has no answer after {} ms", took.as_millis()),
    });
    Ok((status, took))
}
