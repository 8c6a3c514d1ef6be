//! Stand-ins and cases of the review.
//!
//! Started with the name of a case and its folder. Exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case couldn't run. With `TROUBLE=0` nothing disturbs the system.

mod cases;
mod client;
mod front;
mod http;
mod instance;
mod link;
mod record;
mod site;
mod store;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Whether the rule of a case was kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It held.
    Held,
    /// It was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(folder), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let root = repository(folder)?;
    let record = Record::create(folder)?;
    record
        .note(format!("case {case}, {} disruption", if has_trouble { "with" } else { "without" }));
    let verdict = match case {
        "chunks" => cases::chunks::run(&root, &record, has_trouble)?,
        "freeze" => cases::freeze::run(&root, &record, has_trouble)?,
        "memory" => cases::memory::run(&root, &record, has_trouble)?,
        _ => return Err(std::io::Error::other("there is no such case")),
    };
    record.note(format!("the rule: {verdict:?}"));
    println!("{case}: {verdict:?}");
    Ok(verdict)
}

/// The repository's root, above `review/N`.
fn repository(folder: &Path) -> std::io::Result<PathBuf> {
    let folder = folder.canonicalize()?;
    let root = folder.parent().and_then(Path::parent);
    root.map(Path::to_owned).ok_or_else(|| std::io::Error::other("the folder is not review/N"))
}
