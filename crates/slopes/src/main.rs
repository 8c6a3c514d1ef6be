//! Measures what the core costs as fleet and configuration grow.
//!
//! The counting allocators live here and not in the library, so that the benches run on
//! the plain one.

use cap::Cap;
use clap::Parser;
use error_stack::{Report, ResultExt};
use slopes::{HeapCounts, Markdown, Meter, SlopesError, measure_all};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::PathBuf;

#[global_allocator]
static HEAP: Cap<&StatsAlloc<System>> = Cap::new(&INSTRUMENTED_SYSTEM, usize::MAX);

/// Measures what the core costs as fleet and configuration grow.
#[derive(Debug, Parser)]
#[command(name = "slopes")]
struct Args {
    /// Also write the report to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Print the tables of docs/CAPACITY.md instead of all points.
    #[arg(long)]
    markdown: bool,
}

fn main() -> Result<(), Report<SlopesError>> {
    let args = Args::parse();
    let report = measure_all(&Meter::new(heap))?;
    match args.markdown {
        true => print!("{}", Markdown(&report)),
        false => print!("{report}"),
    }
    if let Some(path) = args.json {
        let json = serde_json::to_string_pretty(&report).change_context(SlopesError::Json)?;
        std::fs::write(path, json + "\n").change_context(SlopesError::Write)?;
    }
    Ok(())
}

fn heap() -> HeapCounts {
    let stats = INSTRUMENTED_SYSTEM.stats();
    HeapCounts {
        allocations: stats.allocations + stats.reallocations,
        allocated_bytes: HEAP.total_allocated(),
        live_bytes: HEAP.allocated(),
        peak_bytes: HEAP.max_allocated(),
    }
}
