//! Plays one case of the second review: `review-standins-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With the
//! variable `TROUBLE` set to `0`, the case is played without its disruption.

mod broken_answer;
mod http;
mod instance;
mod late_request;
mod record;
mod restarted;
mod second_answer;
mod site;
mod slow_answer;
mod slow_reader;
mod store;

use record::Record;
use std::io;
use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(case, Path::new(record), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case {
        "broken-answer" => broken_answer::play(&record, has_trouble),
        "late-request" => late_request::play(&record, has_trouble),
        "restarted" => restarted::play(&record, has_trouble),
        "second-answer" => second_answer::play(&record, has_trouble),
        "slow-answer" => slow_answer::play(&record, has_trouble),
        "slow-reader" => slow_reader::play(&record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    let text = match &verdict {
        Ok(Verdict::Held) => "the rule held".to_owned(),
        Ok(Verdict::Broken) => "the rule was broken".to_owned(),
        Err(e) => format!("the case couldn't run: {e}"),
    };
    record.write(&text);
    println!("{case}, disruption {has_trouble}: {text}");
    verdict
}
