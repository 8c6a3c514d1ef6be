//! The daemon of an entry host.

use clap::Parser;
use daemon::error::{EXIT_MACHINE, StartError};
use daemon::run;
use daemon::settings::{PartialSettings, Settings};
use error_stack::{Report, ResultExt};
use std::path::PathBuf;
use std::process::ExitCode;

/// Entry host of the jujubedeal load balancer
///
/// Exit codes: 0 stopped after all work was done, 2 wrong settings, 3 an address is in
/// use, 4 the machine denied something else.
#[derive(Debug, Parser)]
#[command(name = "jujubedeald", version, args_override_self = true)]
struct Cli {
    /// JSON file with the settings; flags win over it
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
    /// Log level, or levels by module; overrides RUST_LOG
    #[arg(long)]
    log: Option<String>,
    #[command(flatten)]
    flags: PartialSettings,
}

const DEFAULT_LOG: &str = "info";

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_log(cli.log.as_deref());
    match start(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("jujubedeald: {report:?}");
            ExitCode::from(report.downcast_ref::<StartError>().map_or(EXIT_MACHINE, exit_code))
        }
    }
}

fn exit_code(error: &StartError) -> u8 {
    error.exit_code()
}

fn start_log(flag: Option<&str>) {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_LOG);
    let mut builder = env_logger::Builder::from_env(env);
    if let Some(filters) = flag {
        builder.parse_filters(filters);
    }
    builder.init();
}

fn start(cli: Cli) -> Result<(), Report<StartError>> {
    let is_check = cli.check;
    let settings = settings(cli)?;
    if is_check {
        println!("settings of {} are valid", settings.host);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(StartError::Machine { what: "threads" })?;
    runtime.block_on(run::run(settings))
}

fn settings(cli: Cli) -> Result<Settings, Report<StartError>> {
    let file = match &cli.settings {
        Some(path) => PartialSettings::read(path)?,
        None => PartialSettings::default(),
    };
    cli.flags.or(file).complete()
}
