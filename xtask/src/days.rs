//! `cargo xtask days`: random days on the users' deployments, until a rule breaks.
//!
//! The users' player and a deployment's file are arguments, so nothing of either stands in
//! the repository. Each day draws troubles of any kind, some of them twice; `--changed`
//! plays each on a copy of the deployment with other slots, caps, delays, machines and
//! noise, so that nothing is tuned to one file. A day that breaks a rule, or isn't played to
//! its end, is kept with its deployment and the player's report.

mod site;
mod troubles;

use crate::error::TaskError;
use error_stack::{Report, ResultExt};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use tokio::process::Command;
use tokio::task::JoinSet;

/// What to play.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The users' player.
    #[arg(long)]
    player: PathBuf,
    /// A deployment's file; what it refers to is looked for beside it.
    #[arg(long)]
    site: PathBuf,
    /// Folder for days and copies, outside of the repository.
    #[arg(long)]
    out: PathBuf,
    /// First seed; each seed gives the same day every time.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of days.
    #[arg(long, default_value_t = 40)]
    days: u64,
    /// Play each day on a changed copy of the deployment.
    #[arg(long)]
    changed: bool,
    /// Days played at the same time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
}

/// A day that is ready to be played.
#[derive(Debug)]
struct Day {
    name: String,
    site: PathBuf,
    file: PathBuf,
}

/// What became of a day.
#[derive(Debug)]
struct Played {
    day: Day,
    /// The player's line about the day; none if it was not played to its end.
    line: Option<String>,
    report: String,
}

impl Played {
    fn is_sound(&self) -> bool {
        self.line.as_ref().is_some_and(|line| !line.contains("BROKEN"))
    }
}

/// Plays them all; fails if a rule broke.
pub async fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let text = std::fs::read_to_string(&args.site).change_context(TaskError::Files)?;
    std::fs::create_dir_all(&args.out).change_context(TaskError::Files)?;
    copy_companions(&args.site, &args.out)?;
    let mut playing = JoinSet::new();
    let mut broken = 0;
    for seed in args.first_seed..args.first_seed.saturating_add(args.days) {
        if playing.len() >= args.jobs.max(1) {
            broken += note(playing.join_next().await)?;
        }
        let day = prepare(args, &text, seed)?;
        let player = args.player.clone();
        playing.spawn(async move { play(&player, day).await });
    }
    while !playing.is_empty() {
        broken += note(playing.join_next().await)?;
    }
    println!("{} days, {broken} that break a rule or did not end", args.days);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Files that a deployment refers to by name, such as the examples of its messages.
fn copy_companions(site: &Path, out: &Path) -> Result<(), Report<TaskError>> {
    let folder = site.parent().unwrap_or(Path::new("."));
    for entry in std::fs::read_dir(folder).change_context(TaskError::Files)? {
        let path = entry.change_context(TaskError::Files)?.path();
        let is_companion = path.extension().is_some_and(|extension| extension == "json");
        if let Some(name) = path.file_name().filter(|_| is_companion) {
            std::fs::copy(&path, out.join(name)).change_context(TaskError::Files)?;
        }
    }
    Ok(())
}

fn prepare(args: &Args, text: &str, seed: u64) -> Result<Day, Report<TaskError>> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let name = format!("day-{seed}");
    let site = match args.changed {
        false => args.site.clone(),
        true => {
            let copy = args.out.join(format!("site-{seed}.toml"));
            let changed = site::change(text, &mut rng);
            std::fs::write(&copy, changed).change_context(TaskError::Files)?;
            copy
        }
    };
    let file = args.out.join(format!("{name}.toml"));
    let day = troubles::day(&name, &site::zones(text), &mut rng);
    std::fs::write(&file, day).change_context(TaskError::Files)?;
    Ok(Day { name, site, file })
}

async fn play(player: &Path, day: Day) -> std::io::Result<Played> {
    let output = Command::new(player)
        .arg("run")
        .args([&day.site, &day.file])
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await?;
    let mut report = String::from_utf8_lossy(&output.stdout).into_owned();
    report.push_str(&String::from_utf8_lossy(&output.stderr));
    let begin = format!("{} ", day.name);
    let line = report.lines().find(|line| line.starts_with(&begin)).map(str::to_owned);
    Ok(Played { day, line, report })
}

/// Tells of a day, and keeps it if it is not sound; counts 1 then.
fn note(
    joined: Option<Result<std::io::Result<Played>, tokio::task::JoinError>>,
) -> Result<usize, Report<TaskError>> {
    let Some(joined) = joined else { return Ok(0) };
    let played = joined.change_context(TaskError::Results)?.change_context(TaskError::Results)?;
    let Played { day, line, report } = &played;
    println!("{}", line.as_deref().unwrap_or("not played to its end"));
    if played.is_sound() {
        std::fs::remove_file(&day.file).change_context(TaskError::Files)?;
        return Ok(0);
    }
    let kept = day.file.with_extension("report");
    std::fs::write(&kept, report).change_context(TaskError::Files)?;
    println!("kept: {} on {}, {}", day.file.display(), day.site.display(), kept.display());
    Ok(1)
}
