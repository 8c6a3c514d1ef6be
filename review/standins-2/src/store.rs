//! A stand-in for the platform's metadata store: range reads and watches, without faults.

use crate::http::Connection;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    events: Vec<(u64, String, Option<String>)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store { shared: Arc::default(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item. When this returns, the write is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.to_owned())),
            None => state.items.remove(key),
        };
        state.events.push((revision, key.to_owned(), value.map(str::to_owned)));
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(head) = connection.read_head() {
            let (_, target) = head.method_and_target();
            let (status, body) = self.respond(target);
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if connection.write(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
        };
        match path {
            "/-/kv-range" => self.range(value("prefix"), value("after")),
            "/-/kv-watch" => {
                let wait_ms = value("waitMs").parse().unwrap_or(0);
                self.watch(value("prefix"), value("after").parse().unwrap_or(0), wait_ms)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, (rev, value))| item(key, *rev, value)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            let new = state.events.iter();
            let new = new.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let new: Vec<String> = new
                .map(|(rev, key, value)| match value {
                    Some(value) => item(key, *rev, value),
                    None => format!(r#"{{"key":"{key}","revision":{rev},"deleted":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let (events, revision) = (new.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"leaseId":0}}"#
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
