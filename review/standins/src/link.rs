//! A link between a place and its clients: what a client sends arrives in flights of packets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Bytes of a packet on an Ethernet link.
const PACKET_BYTES: usize = 1_448;

/// Packets that a sender sends before the first is acknowledged.
const FLIGHT_PACKETS: usize = 10;

/// Starts a link to `server` on which flights arrive `round_trip` apart; returns the address that
/// leads over it, and a message for each flight that arrives before another.
pub fn start(
    address: SocketAddr,
    server: SocketAddr,
    round_trip: Duration,
) -> io::Result<(SocketAddr, Receiver<()>)> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let (flights, arrived) = mpsc::channel();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let flights = flights.clone();
            thread::spawn(move || carry(client, server, round_trip, &flights));
        }
    });
    Ok((address, arrived))
}

fn carry(
    mut client: TcpStream,
    server: SocketAddr,
    round_trip: Duration,
    flights: &Sender<()>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_server, mut to_client) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || {
        let copied = io::copy(&mut from_server, &mut to_client);
        copied.and_then(|_| to_client.shutdown(Shutdown::Write))
    });
    let mut flight = vec![0; FLIGHT_PACKETS * PACKET_BYTES];
    loop {
        let read = client.read(&mut flight)?;
        if read == 0 {
            return server.shutdown(Shutdown::Write);
        }
        for packet in flight[..read].chunks(PACKET_BYTES) {
            server.write_all(packet)?;
        }
        if read == flight.len() {
            // Nobody listens once the run is over.
            let _ = flights.send(());
            thread::sleep(round_trip);
        }
    }
}
