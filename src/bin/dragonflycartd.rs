//! Daemon of an entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    // The platform names no settings file on the command line, so `gateway` has no arguments.
    if std::env::args_os().nth(1).is_some_and(|argument| argument == "gateway") {
        return dragonflycart_platform::run();
    }
    dragonflycart_node::run_with_args(std::env::args_os())
}
