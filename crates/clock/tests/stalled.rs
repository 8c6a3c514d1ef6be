//! A process that is held up, as on a machine with a small share of a core, finds what arrived
//! meanwhile when it runs again.
#![allow(clippy::unwrap_used)]

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const TIMEOUT: Duration = Duration::from_millis(20);

const STALL: Duration = Duration::from_millis(60);

fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test)
}

/// Polls a future once, and holds the thread up after it.
async fn stall_after_first_poll<F: Future>(future: F) -> F::Output {
    let mut future = pin!(future);
    let mut is_first = true;
    poll_fn(|context| {
        let polled = future.as_mut().poll(context);
        if std::mem::take(&mut is_first) {
            std::thread::sleep(STALL);
        }
        polled
    })
    .await
}

/// Guards against taking a stall of this process for silence of the other side: a crashed upstream
/// was not recognised, though its port had refused the connection long before.
#[test]
fn what_arrived_during_a_stall_is_in_time() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connecting = TcpStream::connect(listener.local_addr().unwrap());
        let result = clock::timeout(TIMEOUT, stall_after_first_poll(connecting)).await;
        assert!(result.is_ok_and(|connected| connected.is_ok()));
    });
}

/// The same for what another task receives and passes on.
#[test]
fn what_another_task_received_during_a_stall_is_in_time() {
    on_one_thread(async {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let (pass_on, mut passed) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut byte = [0];
            socket.recv(&mut byte).await.unwrap();
            pass_on.send(byte[0]).unwrap();
        });
        // The task begins to wait.
        tokio::task::yield_now().await;
        let sending = std::thread::spawn(move || {
            std::thread::sleep(TIMEOUT / 2);
            std::net::UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&[7], address).unwrap();
        });
        let result = clock::timeout(TIMEOUT, stall_after_first_poll(passed.recv())).await;
        assert_eq!(result, Ok(Some(7)));
        sending.join().unwrap();
    });
}

/// The last look at the future doesn't wait for it.
#[test]
fn a_future_that_is_not_ready_times_out() {
    on_one_thread(async {
        let never = stall_after_first_poll(std::future::pending::<()>());
        assert_eq!(clock::timeout(TIMEOUT, never).await, Err(clock::Elapsed));
        let mut polls = 0;
        let counting = poll_fn(|_| {
            polls += 1;
            Poll::<()>::Pending
        });
        assert_eq!(clock::timeout(Duration::ZERO, counting).await, Err(clock::Elapsed));
        assert_eq!(polls, 2);
    });
}
