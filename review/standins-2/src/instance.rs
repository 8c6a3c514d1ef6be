//! A stand-in for an instance of a service.

use crate::http::{Connection, Head};
use crate::record::Record;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What an instance does with a request for another path than that of the health check. An error
/// closes the connection.
pub type Handler = Arc<dyn Fn(&mut Exchange<'_>) -> io::Result<()> + Send + Sync>;

/// Answers a health check in place of the instance; false if the instance is to answer.
pub type Health = Arc<dyn Fn(&mut Connection) -> io::Result<bool> + Send + Sync>;

/// A request at an instance.
pub struct Exchange<'a> {
    pub instance: &'a Instance,
    pub connection: &'a mut Connection,
    pub head: Head,
}

/// A request that an instance began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub at: Duration,
}

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    handler: Handler,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    answers: Arc<AtomicUsize>,
    health: Arc<Mutex<Option<Health>>>,
    idle_ms: Arc<AtomicU64>,
    hides_load: Arc<AtomicBool>,
}

impl Instance {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        record: &Record,
        handler: Handler,
    ) -> io::Result<Instance> {
        let listener = TcpListener::bind(address)?;
        let instance = Instance {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            handler,
            record: record.clone(),
            runs: Arc::default(),
            running: Arc::default(),
            is_stopped: Arc::default(),
            open: Arc::default(),
            answers: Arc::default(),
            health: Arc::default(),
            idle_ms: Arc::default(),
            hides_load: Arc::default(),
        };
        let serving = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.open.lock().unwrap().push(copy);
                }
                let instance = serving.clone();
                thread::spawn(move || instance.serve(Connection::new(stream)));
            }
        });
        Ok(instance)
    }

    /// Key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry, of the run that started at this Unix millisecond.
    pub fn entry(&self, state: &str, born_ms: u64, sequence: u64) -> String {
        let Instance { service, address, zone, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","maxConcurrency":6,"state":"{state}","warmupLeft":"0ms","sequence":{sequence},"born":{born_ms}}}"#
        )
    }

    /// The requests that it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Lets something else answer health checks.
    pub fn set_health(&self, health: Health) {
        *self.health.lock().unwrap() = Some(health);
    }

    /// Lets it close connections that are idle for this time; it states only whole seconds.
    pub fn set_idle_timeout(&self, idle: Duration) {
        self.idle_ms.store(idle.as_millis() as u64, Ordering::Relaxed);
    }

    /// Number of its answers, to health checks and to requests.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }

    /// The counter of its answers.
    pub fn answers_counter(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.answers)
    }

    /// Closes all connections, as at the end of its process.
    pub fn close_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            // Fails if it has been closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops to listen.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    /// Serves a connection to its end, and closes it.
    fn serve(&self, mut connection: Connection) {
        while self.serve_next(&mut connection).is_ok() {}
        // A copy of the stream may be open. Fails if the other side has closed it.
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn serve_next(&self, connection: &mut Connection) -> io::Result<()> {
        let idle_ms = self.idle_ms.load(Ordering::Relaxed);
        let idle = (idle_ms > 0).then(|| Duration::from_millis(idle_ms));
        connection.stream.set_read_timeout(idle)?;
        let head = connection.read_head()?;
        connection.stream.set_read_timeout(None)?;
        self.respond(connection, head)
    }

    fn respond(&self, connection: &mut Connection, head: Head) -> io::Result<()> {
        if head.method_and_target() == ("GET", "/healthz") {
            self.answers.fetch_add(1, Ordering::Relaxed);
            let health = self.health.lock().unwrap().clone();
            if health.map_or(Ok(false), |answer| answer(connection))? {
                return Ok(());
            }
            let (id, load) = (&self.id, self.load());
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Jujubedeal-Instance-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
            );
            return connection.write(response.as_bytes());
        }
        if head.field("x-jujubedeal-expect-instance").is_some_and(|id| id != self.id) {
            connection.read_exactly(head.length().unwrap_or(0))?;
            let id = head.field("x-jujubedeal-request-id").unwrap_or("");
            let response = format!(
                "HTTP/1.1 421 X\r\nX-Jujubedeal-Request-Id: {id}\r\nX-Jujubedeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(response.as_bytes());
        }
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        connection.has_served = true;
        let mut exchange = Exchange { instance: self, connection, head };
        let ended = (self.handler)(&mut exchange);
        self.running.fetch_sub(1, Ordering::Relaxed);
        ended
    }

    /// Lets it state no load.
    pub fn hide_load(&self) {
        self.hides_load.store(true, Ordering::Relaxed);
    }

    fn load(&self) -> String {
        if self.hides_load.load(Ordering::Relaxed) {
            return String::new();
        }
        let running = self.running.load(Ordering::Relaxed);
        format!("X-Jujubedeal-Instance-Load: {running},0,6,100\r\n")
    }
}

impl Exchange<'_> {
    pub fn id(&self) -> String {
        self.head.field("x-jujubedeal-request-id").unwrap_or("").to_owned()
    }

    pub fn path(&self) -> &str {
        self.head.method_and_target().1
    }

    /// Records that the instance begins to work on the request.
    pub fn begin(&mut self) {
        let run = Run { request: self.id(), at: self.instance.record.now() };
        let (method, target) = self.head.method_and_target();
        let (id, instance) = (&run.request, &self.instance.id);
        self.instance.record.write(&format!("{instance} begins to run {id}: {method} {target}"));
        self.instance.runs.lock().unwrap().push(run);
    }

    /// Works on the request; an error, as it is dropped, if its connection is closed meanwhile.
    pub fn work(&mut self, span: Duration) -> io::Result<()> {
        if self.connection.stays_open_for(span) {
            return Ok(());
        }
        let (id, instance) = (self.id(), &self.instance.id);
        let line = format!("{instance} drops {id}: its connection was closed during the work");
        self.instance.record.write(&line);
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Head of a success with a body of this length.
    pub fn success_head(&self, body_bytes: usize) -> String {
        let (id, load) = (self.id(), self.instance.load());
        format!(
            "HTTP/1.1 200 OK\r\nX-Jujubedeal-Request-Id: {id}\r\nX-Jujubedeal-Response-Seal: 1.{body_bytes:x}\r\n{load}Content-Length: {body_bytes}\r\n\r\n"
        )
    }

    /// Answers with a success.
    pub fn answer(&mut self) -> io::Result<()> {
        let body = format!("done {}", self.id());
        let response = self.success_head(body.len()) + &body;
        self.connection.write(response.as_bytes())?;
        self.record_answer();
        Ok(())
    }

    /// Records that a success was written whole.
    pub fn record_answer(&self) {
        let (id, instance) = (self.id(), &self.instance.id);
        self.instance.record.write(&format!("{instance} has answered {id}: 200"));
    }
}
