//! Cost of quarantine per request: a check whether it is empty; otherwise, the request's fingerprint
//! and its admission.

use criterion::{Criterion, criterion_group, criterion_main};
use dispatch::quarantine::{Crash, Quarantine};
use domain::{Millis, RequestFingerprint};
use gateway::http1::{RequestHead, read_request};
use gateway::serve::fingerprint;
use published::RunStart;
use std::hint::black_box;

/// Header that names the caller.
const CALLER: Option<&str> = Some("x-caller");

const HEAD: &str = "GET /packs/3d1030?page=37&sort=new HTTP/1.1\r\nHost: a.example\r\n\
                    X-Request-Id: 144e9da776d0f6bc\r\nX-Deadline-Ms: 497\r\n\r\n";

/// Most suspects that a host remembers.
const SUSPECTS: u128 = 1_024;

fn head() -> Option<RequestHead> {
    read_request(&mut HEAD.as_bytes().to_vec(), 4_096).ok()?
}

fn suspects() -> Option<Quarantine> {
    let mut quarantine = Quarantine::default();
    for number in 0..SUSPECTS {
        let crash = Crash {
            upstream: "i-1".parse().ok()?,
            run: RunStart::default(),
            seen_by: "front-1".parse().ok()?,
            sent_ms: Millis::ZERO,
            crashed_ms: Millis(50),
        };
        quarantine.record_crash(RequestFingerprint(number), crash);
    }
    Some(quarantine)
}

fn quarantine_checks(criterion: &mut Criterion) {
    let (Some(head), Some(suspects)) = (head(), suspects()) else { return };
    for bytes in [0, 2 * 1_024, 64 * 1_024] {
        let body = vec![b'x'; bytes];
        criterion.bench_function(&format!("fingerprint, body of {bytes} bytes"), |bencher| {
            bencher.iter(|| fingerprint(black_box(&head), black_box(&body), CALLER));
        });
    }
    criterion.bench_function("calm: is_empty", |bencher| {
        let empty = Quarantine::default();
        bencher.iter(|| black_box(&empty).is_empty());
    });
    criterion.bench_function("admit beside a thousand suspects", |bencher| {
        bencher.iter(|| suspects.admit(Millis(100), black_box(RequestFingerprint(7))));
    });
}

criterion_group!(benches, quarantine_checks);
criterion_main!(benches);
