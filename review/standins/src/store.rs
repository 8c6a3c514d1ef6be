//! A stand-in of the platform's metadata store: range reads and watches of items in memory.

use crate::http::Reader;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Item {
    key: String,
    /// None once the item is deleted.
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    revision: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub fn start(address: SocketAddr) -> io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Store { shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: String) {
        self.change(key, Some(value));
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.shared.state.lock().expect("no thread panics with the state");
        state.revision += 1;
        let item = Item { key: key.to_owned(), value, revision: state.revision };
        state.history.push(item.clone());
        state.items.insert(key.to_owned(), item);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.read()? {
            let (path, query) = request.target().split_once('?').unwrap_or_default();
            let body = match path {
                "/-/kv-range" => Some(self.range(&parameter(query, "prefix"))),
                "/-/kv-watch" => Some(self.watch(query)),
                _ => None,
            };
            let (status, body) = match body {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", "{}".to_owned()),
            };
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str) -> String {
        let state = self.shared.state.lock().expect("no thread panics with the state");
        let present = state.items.values().filter(|item| item.value.is_some());
        let items: Vec<String> =
            present.filter(|item| item.key.starts_with(prefix)).map(to_json).collect();
        let revision = state.revision;
        format!(r#"{{"items":[{}],"hasMore":false,"currentRev":{revision}}}"#, items.join(","))
    }

    fn watch(&self, query: &str) -> String {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or_default();
        let wait_ms: u64 = parameter(query, "waitMs").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.state.lock().expect("no thread panics with the state");
        loop {
            let newer = state.history.iter().filter(|item| item.revision > after);
            let events: Vec<String> =
                newer.filter(|item| item.key.starts_with(&prefix)).map(to_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#);
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the state").0;
        }
    }
}

fn to_json(item: &Item) -> String {
    let Item { key, value, revision } = item;
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"leaseId":0}}"#
            )
        }
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let index = (group >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
