//! Searches random scenarios for broken promises: `search [first seed] [seeds] [cases each]`.

use scenario::{Breach, search};

fn main() {
    let mut numbers = std::env::args().skip(1).map(|arg| arg.parse::<u64>().unwrap_or(1));
    let first = numbers.next().unwrap_or(100);
    let seeds = numbers.next().unwrap_or(10);
    let cases = numbers.next().unwrap_or(100) as u32;
    for seed in first..first + seeds {
        match search(seed, cases) {
            Ok(()) => println!("seed {seed}: {cases} scenarios, no promise broken"),
            Err(failure) => {
                let printed: Vec<String> = failure.breaches.iter().map(Breach::to_string).collect();
                println!("seed {seed}: {}\n{}", printed.join("\n"), failure.scenario);
            }
        }
    }
}
