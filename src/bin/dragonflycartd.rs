//! Daemon that runs on each entry VM.

use std::process::ExitCode;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = dragonflycart_node::command().subcommand(dragonflycart_platform::command());
    let matches = match command.try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            let code = u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE);
            return match error.print() {
                Ok(()) => ExitCode::from(code),
                Err(_) => ExitCode::from(EXIT_USAGE),
            };
        }
    };
    match matches.subcommand() {
        Some((dragonflycart_platform::COMMAND_NAME, matches)) => {
            dragonflycart_platform::run(matches)
        }
        _ => dragonflycart_node::run_matches(&matches),
    }
}
