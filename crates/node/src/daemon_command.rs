//! Command line of the daemon.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgMatches, Command, value_parser};
use dragonflycart_settings::{Config, LogLevel, LogSettings, check_settings, show_settings};
use log::{LevelFilter, error, info};
use simplelog::{ConfigBuilder, SharedLogger, SimpleLogger, WriteLogger};
use tokio::sync::watch;

use crate::Daemon;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start or run.
const EXIT_FAILURE: u8 = 1;

/// Returns the command line of the daemon.
pub fn command() -> Command {
    let file = || {
        Arg::new("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings file in INI format; docs/settings.md lists all keys")
    };
    Command::new("dragonflycartd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry VM daemon: routes generations and service calls to backend servers")
        .after_help(
            "Exit codes: 0 after a planned stop, 1 if the daemon can't start, \
             2 if the settings have faults.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run").about("Runs the daemon until SIGTERM or SIGINT").arg(file()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and reports all faults")
                .arg(file()),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the settings in force, defaults included and credentials masked")
                .arg(file()),
        )
}

/// Parses and runs the command line of the daemon.
pub fn run_with_args(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match command().try_get_matches_from(args) {
        Ok(matches) => run_matches(&matches),
        Err(error) => {
            let _ = error.print();
            ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_SETTINGS))
        }
    }
}

/// Runs a parsed command line of the daemon.
pub fn run_matches(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("run", matches)) => run(&settings_path(matches)),
        Some(("check", matches)) => print_result(check_settings(&settings_path(matches))),
        Some(("show", matches)) => print_result(show_settings(&settings_path(matches))),
        _ => ExitCode::from(EXIT_SETTINGS),
    }
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

fn print_result(result: Result<String, dragonflycart_settings::ConfigProblems>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(problems) => {
            eprintln!("{problems}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(error) = start_log(&config.log) {
        eprintln!("can't open the log file: {error}");
        return ExitCode::from(EXIT_FAILURE);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.vm.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!("daemon: can't start threads; error={error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let result = runtime.block_on(async {
        let (sender, stop) = watch::channel(false);
        let daemon = Daemon::bind(config).await?;
        tokio::spawn(await_signal(sender));
        info!("daemon: listening");
        daemon.run(stop).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("daemon: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

async fn await_signal(stop: watch::Sender<bool>) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        error!("daemon: can't install signal handlers");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!("daemon: planned stop begins");
    stop.send_replace(true);
    // Keeps the channel open until the process ends.
    std::future::pending::<()>().await;
}

fn start_log(settings: &LogSettings) -> std::io::Result<()> {
    let level = match settings.level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("dragonflycart")
        .build();
    let logger: Box<dyn SharedLogger> = match &settings.file {
        Some(path) => {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
            WriteLogger::new(level, config, file)
        }
        None => SimpleLogger::new(level, config),
    };
    // This fails only if the process already has a logger.
    let _ = simplelog::CombinedLogger::init(vec![logger]);
    Ok(())
}
