//! Entry point of the binary.

use std::{
    ffi::OsString,
    io::Write,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use dragonflycart_core::WallTime;

use crate::{CREDENTIAL_VARIABLE, CommandEnvironment, CommandRunner, ExitStatus};

/// Runs one command on standard output and standard error. `args` start with the program name.
pub fn main_with_args<I, T>(args: I) -> ExitCode
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let credential = std::env::var(CREDENTIAL_VARIABLE).ok();
    let environment = CommandEnvironment { credential: credential.as_deref(), now: wall_now };
    run_command(args, environment, &mut std::io::stdout(), &mut std::io::stderr()).into()
}

/// Runs one command with the given environment and outputs.
pub fn run_command<I, T>(
    args: I,
    environment: CommandEnvironment<'_>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitStatus
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let runner = match CommandRunner::parse(args, environment) {
        Ok(runner) => runner,
        Err((message, status)) => {
            let _ = match status {
                ExitStatus::Done => write!(out, "{message}"),
                _ => write!(err, "{message}"),
            };
            return status;
        }
    };
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(runner.run(out, err)),
        Err(error) => {
            let _ = writeln!(err, "can't start the async runtime: {error}");
            ExitStatus::Faults
        }
    }
}

fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_unix_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
