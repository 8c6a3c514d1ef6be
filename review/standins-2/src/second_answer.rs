//! Orders on connections on which an instance has answered a health check twice.

use crate::Verdict;
use crate::http::{Connection, Request};
use crate::instance::{Exchange, Handler, Instance};
use crate::record::Record;
use crate::site::{Route, Site, ZONES};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(80);

/// Time between two orders of a client.
const ORDER_PAUSE: Duration = Duration::from_millis(400);

/// Time after which an instance closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(150);

const CLIENTS: usize = 16;
const INSTANCES: usize = 2;
const DEADLINE_MS: u64 = 1_500;
const WORK: Duration = Duration::from_millis(60);

/// A second answer comes this long after the first one.
const LATE_BY: Duration = Duration::from_millis(25);

/// Length of a disruption, and time from the beginning of one to that of the next.
const DISRUPTION: Duration = Duration::from_secs(5);
const DISRUPTION_EVERY: Duration = Duration::from_secs(8);

/// Share of its answers in a disruption that a faulty instance gives twice, at most.
const SECOND_SHARE: f64 = 0.03;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start()?;
    let route =
        |prefix, kind| Route { prefix, kind, service: "spareslip", timeout_ms: DEADLINE_MS };
    site.configure(1, &[route("/orders/", "unsafe"), route("/parts/", "safe")]);
    let handler: Handler = Arc::new(|exchange: &mut Exchange<'_>| {
        let length = exchange.head.length().unwrap_or(0);
        exchange.connection.read_exactly(length)?;
        if is_full() {
            return exchange.connection.write(shed(&exchange.id()).as_bytes());
        }
        exchange.begin();
        exchange.work(WORK)?;
        exchange.answer()
    });
    let mut instances = Vec::new();
    for (at, zone) in ZONES.into_iter().enumerate().take(INSTANCES) {
        let instance = Instance::start(
            (&format!("i-{at}a01"), "spareslip", zone),
            site.instance_address(at as u8),
            record,
            Arc::clone(&handler),
        )?;
        site.store.put(&instance.key(), &instance.entry("ready", 1_000, 1));
        instance.set_idle_timeout(IDLE_TIMEOUT);
        instances.push(instance);
    }
    let start = Instant::now();
    let seconds = Arc::new(AtomicUsize::new(0));
    for (at, instance) in instances.iter().enumerate() {
        let is_faulty = has_trouble && at == 0;
        let (record, instance_id) = (record.clone(), instance.id.clone());
        let (answers, seconds) = (instance.answers_counter(), Arc::clone(&seconds));
        let disruption = Mutex::new(Disruption::default());
        instance.set_health(Arc::new(move |connection: &mut Connection| {
            if !is_full() {
                return Ok(false);
            }
            connection.write(shed("").as_bytes())?;
            let answers = answers.load(Ordering::Relaxed);
            if is_faulty
                && !connection.has_served
                && disruption.lock().unwrap().allows_second(start.elapsed(), answers)
            {
                seconds.fetch_add(1, Ordering::Relaxed);
                let port = connection.stream.peer_addr()?;
                record.write(&format!("{instance_id} rejects a health check, twice: {port}"));
                let mut copy = connection.stream.try_clone()?;
                thread::spawn(move || {
                    thread::sleep(LATE_BY);
                    // Fails if the connection was closed meanwhile.
                    let _ = io::Write::write_all(&mut copy, shed("").as_bytes());
                });
            }
            Ok(true)
        }));
    }
    site.start_hosts()?;
    thread::sleep(Duration::from_secs(4));
    let end = Instant::now() + LENGTH;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, front) = (record.clone(), site.hosts[[0, 0, 1, 2][number % 4]].front);
        clients.push(thread::spawn(move || order_on(&record, front, number, end)));
    }
    let mut orders = Vec::new();
    for client in clients {
        orders.extend(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in instances.iter().flat_map(|instance| instance.runs()) {
        *runs.entry(run.request).or_default() += 1;
    }
    let (mut twice, mut refused) = (0, 0);
    for Order { id, status } in &orders {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            twice += 1;
            record.write(&format!("TWICE: {id} ran {count} times"));
        }
        if count > 0 && *status == Some(503) {
            refused += 1;
            record.write(&format!("REFUSED: {id} ran, and was answered 503"));
        }
    }
    record.write(&format!(
        "{} gave {} answers, {} of them twice",
        instances[0].id,
        instances[0].answers(),
        seconds.load(Ordering::Relaxed)
    ));
    let count = orders.len();
    record.write(&format!(
        "of {count} orders, {refused} were refused and had run, {twice} ran twice"
    ));
    Ok(if twice + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The second answers of a faulty instance in one disruption.
#[derive(Default)]
struct Disruption {
    number: u32,
    /// Answers of the instance before it.
    answers_before: usize,
    seconds: usize,
}

impl Disruption {
    /// Whether the instance, which has given so many answers, may give one a second time now.
    fn allows_second(&mut self, at: Duration, answers: usize) -> bool {
        let number = 1 + (at.as_secs_f64() / DISRUPTION_EVERY.as_secs_f64()) as u32;
        if number != self.number {
            *self = Disruption { number, answers_before: answers, seconds: 0 };
        }
        let since = at - DISRUPTION_EVERY * (number - 1);
        let most = SECOND_SHARE * (answers - self.answers_before) as f64;
        let allows = since < DISRUPTION && (self.seconds + 1) as f64 <= most;
        self.seconds += usize::from(allows);
        allows
    }
}

/// Whether an instance is full at this moment: its load shifts within milliseconds.
fn is_full() -> bool {
    draw().is_multiple_of(2)
}

/// Draws a number at random.
fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// The answer of a full instance, to a request with this id or to a health check.
fn shed(id: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("X-Jujubedeal-Request-Id: {id}\r\n"),
    };
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{id}X-Jujubedeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// An order, and the status of its answer, if there was one.
struct Order {
    id: String,
    status: Option<u16>,
}

/// Sends orders, one after the other; returns them.
fn order_on(
    record: &Record,
    front: SocketAddr,
    number: usize,
    end: Instant,
) -> io::Result<Vec<Order>> {
    let mut orders = Vec::new();
    let mut connection = Connection::open(front)?;
    while Instant::now() < end {
        let id = format!("order-{number}-{}", orders.len());
        let request = Request {
            method: "POST",
            path: "/orders/new",
            id: &id,
            deadline_ms: DEADLINE_MS,
            body_bytes: 20,
        };
        connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        record.write(&format!("client sends {id}"));
        connection.write(&request.head())?;
        connection.write(b"{\"part\": \"fuser 14\"}")?;
        let status = connection.read_response().map(|(head, _)| head.status());
        record.write(&format!("client gets {id}: {status:?}"));
        let is_open = status.is_ok();
        orders.push(Order { id, status: status.ok() });
        if !is_open {
            connection = Connection::open(front)?;
        }
        thread::sleep(ORDER_PAUSE);
    }
    Ok(orders)
}
