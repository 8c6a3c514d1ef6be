//! The `check`, `render` and `diff` commands.

use crate::args::{Diff, Target};
use crate::error::CtlError;
use crate::operator::Client;
use crate::output::{Format, Status};
use config::{Change, ConfigError, Merged, Problem, SiteConfig, Source};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::{fmt, fs};

/// Files of a base and, if any, its overlay.
#[derive(Debug)]
struct Pair {
    base: PathBuf,
    overlay: Option<PathBuf>,
}

/// Problems and warnings of one pair.
#[derive(Debug, Serialize)]
struct CheckResult {
    base: PathBuf,
    overlay: Option<PathBuf>,
    problems: Vec<Problem>,
    warnings: Vec<Problem>,
}

/// Problems of a pair, each formatted with the name of its file.
#[derive(Debug)]
struct NamedProblems(Vec<String>);

/// Checks a base alone, or with each overlay in turn.
pub fn check(
    format: Format,
    base: &Path,
    overlays: &[PathBuf],
) -> Result<Status, Report<CtlError>> {
    let pairs: Vec<Pair> = match overlays {
        [] => vec![Pair::new(base, None)],
        _ => overlays.iter().map(|overlay| Pair::new(base, Some(overlay))).collect(),
    };
    let mut results = Vec::new();
    for pair in pairs {
        results.push(pair.check()?);
    }
    if format == Format::Text {
        results.iter().for_each(CheckResult::print_findings);
    }
    let lines: Vec<String> = results.iter().map(|result| result.to_string()).collect();
    format.print(&results, &lines.join("\n"))?;
    match results.iter().all(|result| result.problems.is_empty()) {
        true => Ok(Status::Done),
        false => Ok(Status::ProblemsFound),
    }
}

/// Prints the merged configuration, which is JSON in both formats.
pub fn render(
    format: Format,
    base: &Path,
    overlay: Option<&Path>,
) -> Result<Status, Report<CtlError>> {
    let config = Pair::new(base, overlay).load()?;
    let text = serde_json::to_string_pretty(&config).change_context(CtlError::Output)?;
    format.print(&config, &text)?;
    Ok(Status::Done)
}

/// Prints what publishing a pair would change.
pub async fn diff(format: Format, args: Diff) -> Result<Status, Report<CtlError>> {
    let new = Pair::from_files(&args.files).load()?;
    let old = match (&args.against, args.operator) {
        (Some(files), _) => Pair::from_files(files).load()?,
        (None, Some(operator)) => {
            let target = Target { operator, timeout_ms: args.timeout_ms };
            Client::new(&target)?.config_in_force().await?
        }
        // Unreachable: clap requires one of the two.
        (None, None) => new.clone(),
    };
    let changes = config::diff(&old, &new);
    format.print(&changes, &diff_text(&changes))?;
    match changes.is_empty() {
        false if args.exit_code => Ok(Status::ProblemsFound),
        _ => Ok(Status::Done),
    }
}

fn diff_text(changes: &[Change]) -> String {
    match changes {
        [] => "no differences".to_owned(),
        _ => changes.iter().map(Change::to_string).collect::<Vec<_>>().join("\n"),
    }
}

impl Pair {
    fn new(base: &Path, overlay: Option<&Path>) -> Pair {
        Pair { base: base.to_owned(), overlay: overlay.map(Path::to_owned) }
    }

    /// Builds a pair of one or two files; clap rejects any other number.
    fn from_files(files: &[PathBuf]) -> Pair {
        let base = files.first().cloned().unwrap_or_default();
        Pair { base, overlay: files.get(1).cloned() }
    }

    fn load(&self) -> Result<SiteConfig, Report<CtlError>> {
        match self.merge()? {
            Ok(merged) => Ok(merged.config),
            Err(error) => {
                let lines = error.problems.iter().map(|problem| self.describe(problem)).collect();
                Err(Report::new(NamedProblems(lines))
                    .change_context(CtlError::InvalidConfiguration))
            }
        }
    }

    fn check(self) -> Result<CheckResult, Report<CtlError>> {
        let (problems, warnings) = match self.merge()? {
            Ok(merged) => (Vec::new(), merged.warnings),
            Err(error) => (error.problems, Vec::new()),
        };
        Ok(CheckResult { base: self.base, overlay: self.overlay, problems, warnings })
    }

    fn merge(&self) -> Result<Result<Merged, ConfigError>, Report<CtlError>> {
        let base = read(&self.base)?;
        let overlay = self.overlay.as_deref().map(read).transpose()?;
        Ok(config::merge_with_warnings(&base, overlay.as_deref()))
    }

    fn describe(&self, problem: &Problem) -> String {
        describe(&self.base, self.overlay.as_deref(), problem)
    }
}

impl CheckResult {
    fn print_findings(&self) {
        for problem in &self.problems {
            eprintln!("{}", describe(&self.base, self.overlay.as_deref(), problem));
        }
        for warning in &self.warnings {
            eprintln!("warning: {}", describe(&self.base, self.overlay.as_deref(), warning));
        }
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = merged_name(&self.base, self.overlay.as_deref());
        match (self.problems.len(), self.warnings.len()) {
            (0, 0) => write!(f, "{name}: ok"),
            (0, warnings) => write!(f, "{name}: ok, {warnings} warning(s)"),
            (problems, _) => write!(f, "{name}: {problems} problem(s)"),
        }
    }
}

impl fmt::Display for NamedProblems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for NamedProblems {}

fn read(path: &Path) -> Result<String, Report<CtlError>> {
    fs::read_to_string(path).change_context_lazy(|| CtlError::UnreadableFile(path.to_owned()))
}

fn describe(base: &Path, overlay: Option<&Path>, problem: &Problem) -> String {
    let name = match (problem.source, overlay) {
        (Source::Overlay, Some(overlay)) => overlay.display().to_string(),
        (Source::Merged, overlay) => merged_name(base, overlay),
        (Source::Base | Source::Overlay, _) => base.display().to_string(),
    };
    problem.describe(&name)
}

fn merged_name(base: &Path, overlay: Option<&Path>) -> String {
    match overlay {
        Some(overlay) => format!("{} + {}", base.display(), overlay.display()),
        None => base.display().to_string(),
    }
}
