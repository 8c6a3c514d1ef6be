//! Loopback addresses that no other test process uses.
//!
//! Test processes run side by side. On a shared address they run out of ports, and one may take the
//! port that another's stand-in is about to listen on again. So each process claims a network
//! `127.x.y.0/24`, by a port that it holds open.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};

/// The port by which a network is claimed.
const CLAIM_PORT: u16 = 17_539;

/// First port of stand-ins, below those that the system chooses from.
const FIRST_PORT: u16 = 20_000;

/// Last part of the next host's address: each host of a process has its own.
static NEXT_HOST: AtomicU8 = AtomicU8::new(2);

/// Port of the next stand-in. None is used twice, so one that ended can listen on its port again.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

static NETWORK: LazyLock<Network> = LazyLock::new(Network::claim);

struct Network {
    high: u8,
    low: u8,
    _claim: TcpListener,
}

impl Network {
    /// Claims the first free network, starting at that of the process's id.
    fn claim() -> Network {
        let first = std::process::id() as u16;
        let try_claim = |number: u16| {
            let [high, low] = first.wrapping_add(number).to_be_bytes();
            let address = SocketAddr::from((network_address(high, low, 1), CLAIM_PORT));
            // Networks with a zero first part are for addresses that processes share.
            let claim = TcpListener::bind(address).ok().filter(|_| high > 0)?;
            Some(Network { high, low, _claim: claim })
        };
        (0..u16::MAX).find_map(try_claim).expect("a free loopback network")
    }
}

fn network_address(high: u8, low: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, high, low, host)
}

/// The address of this process's next host, and its number.
pub fn next_host() -> (Ipv4Addr, u8) {
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    assert!(number >= 2, "more hosts than addresses: split the test file");
    (network_address(NETWORK.high, NETWORK.low, number), number)
}

/// The address and port of this process's next stand-in.
pub fn next_stand_in() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    (network_address(NETWORK.high, NETWORK.low, 1), port).into()
}
