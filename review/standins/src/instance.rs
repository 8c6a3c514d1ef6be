//! A stand-in of an instance: it works on requests, and states its load.

use crate::http::{HttpMessage, Reader};
use crate::record::Record;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that an instance works on at the same time.
pub const SLOTS: u32 = 6;

/// Time between two looks whether the sender of a request is still there.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// What became of a request at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It is still at work.
    Open,
    /// It answered.
    Answered,
    /// Its connection closed, so it dropped the request.
    Dropped,
}

/// A request that an instance has run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// What became of it.
    pub end: RunEnd,
}

/// An instance.
#[derive(Clone)]
pub struct Instance {
    id: String,
    work: Duration,
    running: Arc<AtomicU32>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Instance {
    /// Starts an instance that works on each request for `work`; returns it with its address.
    pub fn start(
        id: &str,
        address: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> io::Result<(Instance, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let instance = Instance {
            id: id.to_owned(),
            work,
            running: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let serving = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok((instance, address))
    }

    /// All requests that it has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics with the runs").clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.read()? {
            if request.target() == "/healthz" {
                let id = &self.id;
                let fields = format!("X-Jujubedeal-Instance-Id: {id}\r\n");
                writer.write_all(&self.response("200 OK", &fields, b""))?;
                continue;
            }
            if !self.work_on(&request, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Works on a request and answers it; false if its sender has left.
    fn work_on(&self, request: &HttpMessage, writer: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("x-jujubedeal-request-id").unwrap_or_default();
        if request.header("x-jujubedeal-expect-instance").is_some_and(|wanted| wanted != self.id) {
            let fields = format!("X-Jujubedeal-Request-Id: {id}\r\n");
            writer.write_all(&self.response("421 Misdirected Request", &fields, b""))?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let fields =
                format!("X-Jujubedeal-Request-Id: {id}\r\nX-Jujubedeal-Not-Executed: 1\r\n");
            writer.write_all(&self.response("503 Service Unavailable", &fields, b""))?;
            return Ok(true);
        }
        let index = self.begin(id);
        self.record.note(format!("instance {} runs {id}", self.id));
        let until = Instant::now() + self.work;
        let mut is_open = true;
        while is_open && Instant::now() < until {
            thread::sleep(LOOK_INTERVAL);
            is_open = is_connected(writer)?;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        if !is_open {
            self.end(index, RunEnd::Dropped);
            self.record.note(format!("instance {} drops {id}: its connection closed", self.id));
            return Ok(false);
        }
        let body = format!("answer to {id}");
        let fields =
            format!("X-Jujubedeal-Request-Id: {id}\r\nX-Jujubedeal-Response-Seal: seal.{id}\r\n");
        self.end(index, RunEnd::Answered);
        self.record.note(format!("instance {} answers {id}", self.id));
        writer.write_all(&self.response("200 OK", &fields, body.as_bytes()))?;
        Ok(true)
    }

    fn begin(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().expect("no thread panics with the runs");
        runs.push(Run { id: id.to_owned(), end: RunEnd::Open });
        runs.len() - 1
    }

    fn end(&self, index: usize, end: RunEnd) {
        self.runs.lock().expect("no thread panics with the runs")[index].end = end;
    }

    fn response(&self, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
        let (running, length) = (self.running.load(Ordering::SeqCst), body.len());
        let head = format!(
            "HTTP/1.1 {status}\r\n{fields}X-Jujubedeal-Instance-Load: {running},0,{SLOTS},100\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// Whether the other side has not closed the connection.
fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(read) => read > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    })
}
